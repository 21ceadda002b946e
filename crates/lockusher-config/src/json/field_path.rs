//! Paths of values in a document.

use std::fmt;

/// Path of a value in the document; only spelled out for an error.
#[derive(Clone, Copy, Debug)]
pub enum FieldPath<'a> {
    /// The document itself.
    Root,
    /// The field of this name in the object at the path.
    Field(&'a FieldPath<'a>, &'a str),
    /// The item with this index in the list at the path.
    Item(&'a FieldPath<'a>, usize),
}

impl fmt::Display for FieldPath<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FieldPath::Root => formatter.write_str("document"),
            FieldPath::Field(FieldPath::Root, name) => formatter.write_str(name),
            FieldPath::Field(parent, name) => write!(formatter, "{parent}.{name}"),
            FieldPath::Item(parent, index) => write!(formatter, "{parent}[{index}]"),
        }
    }
}
