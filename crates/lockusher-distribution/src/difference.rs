//! Differences between two versions of a configuration or of an instance list.
//!
//! Made by the publisher's version history, applied by the [`Subscriber`](crate::subscriber::Subscriber). The newer
//! sequence is described by runs copied from the older one, the base, and by elements that are new. Invariant: applying
//! a difference to its base gives exactly the newer version, order included.

use std::collections::HashMap;

use bitcode::{Decode, Encode};
use derive_more::{Display, Error};
use lockusher_config::configuration::{Configuration, Limits, Route, Service};
use lockusher_config::instances::{Instance, InstanceListRevision};

/// A difference can't be applied; a full snapshot can.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum DifferenceError {
    /// Its base is another version than the one applied.
    #[display("the difference is against another version than the one applied")]
    BaseMismatch,
    /// A segment lies outside of the base: the sender is at fault.
    #[display("the difference takes over elements that the base doesn't have")]
    SegmentOutOfRange,
}

/// Elements that are matched by name when two sequences are compared.
pub trait Named {
    /// The name; unique within one sequence.
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
    /// Elements that are the same in the base.
    CopyFromBase {
        /// Position in the base of the first one.
        from: u32,
        /// Number of elements.
        count: u32,
    },
    /// Elements that are new or changed.
    Insert(Vec<T>),
}

/// A configuration as a difference.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ConfigurationDifference {
    /// Version of the base.
    pub base_version: u64,
    /// The newer version.
    pub version: u64,
    /// The newer version's routes.
    pub routes: Vec<Segment<Route>>,
    /// The newer version's services.
    pub services: Vec<Segment<Service>>,
    /// The newer version's limits.
    pub limits: Limits,
}

impl ConfigurationDifference {
    /// The difference that leads from `base` to `target`.
    pub fn between(base: &Configuration, target: &Configuration) -> Self {
        ConfigurationDifference {
            base_version: base.version,
            version: target.version,
            routes: segments(&base.routes, &target.routes),
            services: segments(&base.services, &target.services),
            limits: target.limits,
        }
    }

    /// The newer configuration.
    ///
    /// # Errors
    ///
    /// [`DifferenceError::BaseMismatch`] if `base` is of another version than the difference's base,
    /// [`DifferenceError::SegmentOutOfRange`] if it lacks what the difference copies.
    pub fn apply(self, base: &Configuration) -> Result<Configuration, DifferenceError> {
        if base.version != self.base_version {
            return Err(DifferenceError::BaseMismatch);
        }
        Ok(Configuration {
            version: self.version,
            routes: join(&base.routes, self.routes)?,
            services: join(&base.services, self.services)?,
            limits: self.limits,
        })
    }
}

/// An instance list as a difference.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct InstanceListDifference {
    /// Revision of the base.
    pub base: InstanceListRevision,
    /// The newer revision.
    pub revision: InstanceListRevision,
    /// The newer list.
    pub instances: Vec<Segment<Instance>>,
}

impl InstanceListDifference {
    /// The difference that leads from `base_instances` to `instances`.
    pub fn between(
        base: InstanceListRevision,
        base_instances: &[Instance],
        revision: InstanceListRevision,
        instances: &[Instance],
    ) -> Self {
        InstanceListDifference {
            base,
            revision,
            instances: segments(base_instances, instances),
        }
    }

    /// The newer list.
    ///
    /// # Errors
    ///
    /// [`DifferenceError::BaseMismatch`] if `base` is another revision than the difference's base,
    /// [`DifferenceError::SegmentOutOfRange`] if `base_instances` lacks what the difference copies.
    pub fn apply(
        self,
        base: InstanceListRevision,
        base_instances: &[Instance],
    ) -> Result<Vec<Instance>, DifferenceError> {
        if base != self.base {
            return Err(DifferenceError::BaseMismatch);
        }
        join(base_instances, self.instances)
    }
}

/// Describes `target` by what it has in common with `base`.
pub fn segments<T: Named + Clone + PartialEq>(base: &[T], target: &[T]) -> Vec<Segment<T>> {
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

/// Builds the newer sequence out of the base.
///
/// # Errors
///
/// [`DifferenceError::SegmentOutOfRange`] if a segment lies outside of the base.
pub fn join<T: Clone>(base: &[T], segments: Vec<Segment<T>>) -> Result<Vec<T>, DifferenceError> {
    let mut joined = Vec::new();
    for segment in segments {
        match segment {
            Segment::CopyFromBase { from, count } => {
                let end = from
                    .checked_add(count)
                    .ok_or(DifferenceError::SegmentOutOfRange)?;
                let copied = base
                    .get(from as usize..end as usize)
                    .ok_or(DifferenceError::SegmentOutOfRange)?;
                joined.extend_from_slice(copied);
            }
            Segment::Insert(elements) => joined.extend(elements),
        }
    }
    Ok(joined)
}
