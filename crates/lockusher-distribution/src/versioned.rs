//! The interface of values that are published in versions: configurations and instance lists.
//!
//! Used by [`VersionHistory`](crate::version_history::VersionHistory).

use lockusher_config::configuration::Configuration;
use lockusher_config::instances::InstanceListRevision;

use crate::difference::{ConfigurationDifference, InstanceListDifference};
use crate::instance_list::InstanceList;
use crate::message::{ConfigurationUpdate, InstanceListUpdate, ToSubscriber};

/// A value that is published in versions.
pub trait Versioned {
    /// Type of the versions: a newer one is greater, and the default means "none".
    type Version: Copy + Ord + Default;

    /// Returns the version of this value.
    fn version(&self) -> Self::Version;

    /// Returns the message that brings any subscriber to this value.
    fn full_snapshot(&self) -> ToSubscriber;

    /// Returns the message that brings a subscriber from `base` to this value.
    fn difference(&self, base: &Self) -> ToSubscriber;
}

impl Versioned for Configuration {
    type Version = u64;

    fn version(&self) -> u64 {
        self.version
    }

    fn full_snapshot(&self) -> ToSubscriber {
        ToSubscriber::Configuration(ConfigurationUpdate::FullSnapshot(self.clone()))
    }

    fn difference(&self, base: &Self) -> ToSubscriber {
        let difference = ConfigurationDifference::between(base, self);
        ToSubscriber::Configuration(ConfigurationUpdate::Difference(difference))
    }
}

impl Versioned for InstanceList {
    type Version = InstanceListRevision;

    fn version(&self) -> InstanceListRevision {
        self.revision
    }

    fn full_snapshot(&self) -> ToSubscriber {
        let instances = self.instances.as_ref().clone();
        ToSubscriber::Instances(InstanceListUpdate::FullSnapshot {
            revision: self.revision,
            instances,
        })
    }

    fn difference(&self, base: &Self) -> ToSubscriber {
        let difference = InstanceListDifference::between(
            base.revision,
            &base.instances,
            self.revision,
            &self.instances,
        );
        ToSubscriber::Instances(InstanceListUpdate::Difference(difference))
    }
}
