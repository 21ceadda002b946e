//! Differences between two versions of a configuration or of a list.
//!
//! The newer sequence is described by runs taken over from the older one and by elements that are new, so that order
//! is kept and applying a difference gives exactly the newer version.

use std::collections::HashMap;

use bitcode::{Decode, Encode};
use derive_more::{Display, Error};
use lockusher_config::configuration::{Configuration, Limits, Route, Service};
use lockusher_config::instances::{Instance, InstanceListRevision};

/// A difference that doesn't fit its base.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum DifferenceError {
    #[display("the difference is against another version than the one held")]
    BaseMismatch,
    #[display("the difference takes over elements that the base doesn't have")]
    SegmentOutOfRange,
}

/// Elements by whose name a sequence is compared.
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

/// A part of the newer sequence.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Segment<T> {
    /// Taken over from the base.
    CopyFromBase { from: u32, count: u32 },
    /// New or changed.
    Insert(Vec<T>),
}

/// A configuration as a difference.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ConfigurationDifference {
    pub base_version: u64,
    pub version: u64,
    pub routes: Vec<Segment<Route>>,
    pub services: Vec<Segment<Service>>,
    pub limits: Limits,
}

impl ConfigurationDifference {
    /// From `base` to `target`.
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

/// A list as a difference.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct InstanceListDifference {
    pub base: InstanceListRevision,
    pub revision: InstanceListRevision,
    pub instances: Vec<Segment<Instance>>,
}

impl InstanceListDifference {
    /// From `base_instances` to `instances`.
    pub fn between(
        base: InstanceListRevision,
        base_instances: &[Instance],
        revision: InstanceListRevision,
        instances: &[Instance],
    ) -> Self {
        InstanceListDifference { base, revision, instances: segments(base_instances, instances) }
    }

    /// The newer list.
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

/// Describes `target` by what it takes over from `base`.
pub fn segments<T: Named + Clone + PartialEq>(base: &[T], target: &[T]) -> Vec<Segment<T>> {
    let positions: HashMap<&str, usize> =
        base.iter().enumerate().map(|(position, element)| (element.name(), position)).collect();
    let mut segments = Vec::new();
    for element in target {
        let position = positions.get(element.name()).copied().filter(|&position| base[position] == *element);
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
    segments.push(Segment::CopyFromBase { from: position, count: 1 });
}

fn insert<T>(segments: &mut Vec<Segment<T>>, element: T) {
    match segments.last_mut() {
        Some(Segment::Insert(elements)) => elements.push(element),
        _ => segments.push(Segment::Insert(vec![element])),
    }
}

/// Builds the newer sequence out of the base.
pub fn join<T: Clone>(base: &[T], segments: Vec<Segment<T>>) -> Result<Vec<T>, DifferenceError> {
    let mut joined = Vec::new();
    for segment in segments {
        match segment {
            Segment::CopyFromBase { from, count } => {
                let end = from.checked_add(count).ok_or(DifferenceError::SegmentOutOfRange)?;
                let copied =
                    base.get(from as usize..end as usize).ok_or(DifferenceError::SegmentOutOfRange)?;
                joined.extend_from_slice(copied);
            }
            Segment::Insert(elements) => joined.extend(elements),
        }
    }
    Ok(joined)
}
