//! Differences between two versions of a configuration or of an instance list.
//!
//! The publisher's version history computes them, the [`Subscriber`](crate::subscriber::Subscriber) applies them. A
//! difference describes the newer sequence by runs that are copied from the older one, the base, and by elements that
//! are inserted.
//!
//! Invariant: applying a difference to its base gives exactly the newer version, order included.

use std::collections::HashMap;

use bitcode::{Decode, Encode};
use derive_more::{Display, Error};
use lockusher_config::configuration::{Configuration, Limits, Route, Service};
use lockusher_config::instances::{Instance, InstanceListRevision};

/// A difference can't be applied; a full snapshot is needed instead.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum DifferenceError {
    /// The base of the difference isn't the applied version.
    #[display("the base of the difference isn't the applied version")]
    BaseMismatch,
    /// A segment refers to elements outside of the base: the sender is faulty.
    #[display("the difference copies elements outside of its base")]
    SegmentOutOfRange,
}

/// Elements that are matched by name when two sequences are compared.
pub trait Named {
    /// Returns the name, which is unique within one sequence.
    fn name(&self) -> &str;
}

impl Named for Route {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Service {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Instance {
    fn name(&self) -> &str {
        &self.identifier
    }
}

/// A run of the newer sequence.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Segment<T> {
    /// Elements that are copied unchanged from the base.
    CopyFromBase {
        /// Index of the first element in the base.
        from: u32,
        /// Number of elements.
        count: u32,
    },
    /// New or changed elements.
    Insert(Vec<T>),
}

/// A difference between two versions of the configuration.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ConfigurationDifference {
    /// Version of the base.
    pub base_version: u64,
    /// Version of the newer configuration.
    pub version: u64,
    /// Routes of the newer configuration.
    pub routes: Vec<Segment<Route>>,
    /// Services of the newer configuration.
    pub services: Vec<Segment<Service>>,
    /// Limits of the newer configuration.
    pub limits: Limits,
}

impl ConfigurationDifference {
    /// Computes the difference from `base` to `target`.
    pub fn between(base: &Configuration, target: &Configuration) -> Self {
        ConfigurationDifference {
            base_version: base.version,
            version: target.version,
            routes: diff_segments(&base.routes, &target.routes),
            services: diff_segments(&base.services, &target.services),
            limits: target.limits,
        }
    }

    /// Applies the difference to `base` and returns the newer configuration.
    ///
    /// # Errors
    ///
    /// [`DifferenceError::BaseMismatch`] if the version of `base` isn't the difference's base version,
    /// [`DifferenceError::SegmentOutOfRange`] if `base` lacks elements that the difference copies.
    pub fn apply(self, base: &Configuration) -> Result<Configuration, DifferenceError> {
        if base.version != self.base_version {
            return Err(DifferenceError::BaseMismatch);
        }
        Ok(Configuration {
            version: self.version,
            routes: apply_segments(&base.routes, self.routes)?,
            services: apply_segments(&base.services, self.services)?,
            limits: self.limits,
        })
    }
}

/// A difference between two revisions of the instance list.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct InstanceListDifference {
    /// Revision of the base.
    pub base: InstanceListRevision,
    /// Revision of the newer list.
    pub revision: InstanceListRevision,
    /// Instances of the newer list.
    pub instances: Vec<Segment<Instance>>,
}

impl InstanceListDifference {
    /// Computes the difference from `base_instances` to `instances`.
    pub fn between(
        base: InstanceListRevision,
        base_instances: &[Instance],
        revision: InstanceListRevision,
        instances: &[Instance],
    ) -> Self {
        InstanceListDifference {
            base,
            revision,
            instances: diff_segments(base_instances, instances),
        }
    }

    /// Applies the difference to `base_instances` and returns the newer list.
    ///
    /// # Errors
    ///
    /// [`DifferenceError::BaseMismatch`] if `base` isn't the difference's base revision,
    /// [`DifferenceError::SegmentOutOfRange`] if `base_instances` lacks elements that the difference copies.
    pub fn apply(
        self,
        base: InstanceListRevision,
        base_instances: &[Instance],
    ) -> Result<Vec<Instance>, DifferenceError> {
        if base != self.base {
            return Err(DifferenceError::BaseMismatch);
        }
        apply_segments(base_instances, self.instances)
    }
}

/// Computes the segments that build `target` from `base`.
pub fn diff_segments<T: Named + Clone + PartialEq>(base: &[T], target: &[T]) -> Vec<Segment<T>> {
    let positions: HashMap<&str, usize> = base
        .iter()
        .enumerate()
        .map(|(position, element)| (element.name(), position))
        .collect();
    let mut segments = Vec::new();
    for element in target {
        let position = positions
            .get(element.name())
            .copied()
            .filter(|&position| base[position] == *element);
        match position {
            Some(position) => copy_from_base(&mut segments, position as u32),
            None => insert(&mut segments, element.clone()),
        }
    }
    segments
}

fn copy_from_base<T>(segments: &mut Vec<Segment<T>>, position: u32) {
    if let Some(Segment::CopyFromBase { from, count }) = segments.last_mut()
        && *from + *count == position
    {
        *count += 1;
        return;
    }
    segments.push(Segment::CopyFromBase {
        from: position,
        count: 1,
    });
}

fn insert<T>(segments: &mut Vec<Segment<T>>, element: T) {
    match segments.last_mut() {
        Some(Segment::Insert(elements)) => elements.push(element),
        _ => segments.push(Segment::Insert(vec![element])),
    }
}

/// Builds the newer sequence from the base and the segments.
///
/// # Errors
///
/// [`DifferenceError::SegmentOutOfRange`] if a segment refers to elements outside of the base.
pub fn apply_segments<T: Clone>(
    base: &[T],
    segments: Vec<Segment<T>>,
) -> Result<Vec<T>, DifferenceError> {
    let mut target = Vec::new();
    for segment in segments {
        match segment {
            Segment::CopyFromBase { from, count } => {
                let end = from
                    .checked_add(count)
                    .ok_or(DifferenceError::SegmentOutOfRange)?;
                let copied = base
                    .get(from as usize..end as usize)
                    .ok_or(DifferenceError::SegmentOutOfRange)?;
                target.extend_from_slice(copied);
            }
            Segment::Insert(elements) => target.extend(elements),
        }
    }
    Ok(target)
}
