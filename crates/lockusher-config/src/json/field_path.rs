//! Paths of values in a JSON document.

use std::fmt;

/// Path of a value in the document, as a list linked to its parents; formatted only for a fault.
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
