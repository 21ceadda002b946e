//! Failure domains of control nodes, and how many of them may be lost at the same time.
//!
//! Derived from the settings (`zone`, `region`, `faultTolerance.zones`, `faultTolerance.regions`). Each node sends its
//! locality to the others, for [`voter_spread`](crate::voter_spread).

use bitcode::{Decode, Encode};
use derive_more::Display;

/// The failure domains that a machine belongs to.
#[derive(Clone, Debug, Decode, Default, Display, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("zone {zone} of region {region:?}")]
pub struct Locality {
    /// Its zone.
    pub zone: String,
    /// The region of the zone; empty if there is only one.
    pub region: String,
}

/// How many failure domains may be lost at the same time with all machines in them, instead of single machines.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct ToleratedDomains {
    /// Number of zones; 0 if the loss of a whole zone isn't tolerated.
    pub zones: usize,
    /// Number of regions; 0 if the loss of a whole region isn't tolerated.
    pub regions: usize,
}

impl ToleratedDomains {
    /// Whether the loss of a whole domain is tolerated.
    pub fn any(self) -> bool {
        self.zones > 0 || self.regions > 0
    }

    /// Minimum number of voters of which a majority can be left after the loss of these domains.
    pub fn minimum_voters(self) -> usize {
        2 * self.zones.max(self.regions) + 1
    }
}
