//! Where a control node's machine stands, and which failure domains may be lost at once.
//!
//! Made of the settings (`zone`, `region`, `faultTolerance.zones`, `faultTolerance.regions`); sent by each node to the
//! others, so that [`voter_spread`](crate::voter_spread) knows them.

use bitcode::{Decode, Encode};
use derive_more::Display;

/// The failure domains that a machine belongs to.
#[derive(Clone, Debug, Decode, Default, Display, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("zone {zone} of region {region:?}")]
pub struct Locality {
    /// Its zone.
    pub zone: String,
    /// The region of that zone; empty if there is one only.
    pub region: String,
}

/// How many failure domains may be lost at once, with all machines in them, in place of single machines.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct ToleratedDomains {
    /// Zones; 0 if no zone may be lost as a whole.
    pub zones: usize,
    /// Regions, likewise.
    pub regions: usize,
}

impl ToleratedDomains {
    /// Whether any domain may be lost as a whole.
    pub fn any(self) -> bool {
        self.zones > 0 || self.regions > 0
    }

    /// Fewest voters with which a majority can be left after the loss of these domains.
    pub fn minimum_voters(self) -> usize {
        2 * self.zones.max(self.regions) + 1
    }
}
