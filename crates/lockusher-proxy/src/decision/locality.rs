//! Locality: the zone and region of proxies and searchers, and the distance between two localities.
//!
//! Zone names are interned as integers, so that a choice among many searchers compares integers. The registry is owned
//! by `RequestRouter`.

use std::collections::{BTreeMap, HashMap};

/// A zone and its region, as interned numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Locality {
    zone: u16,
    region: u16,
}

/// The distance between two localities.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

impl Locality {
    /// The distance to another locality.
    pub fn distance(self, other: Locality) -> Distance {
        if self.zone == other.zone {
            Distance::SameZone
        } else if self.region == other.region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }
}

/// Interns the names of zones and regions.
#[derive(Debug)]
pub struct LocalityRegistry {
    regions: BTreeMap<String, String>,
    zone_numbers: HashMap<String, u16>,
    region_numbers: HashMap<String, u16>,
}

impl LocalityRegistry {
    /// `regions` maps each zone to its region; a zone that isn't listed is a region of its own.
    pub fn new(regions: BTreeMap<String, String>) -> Self {
        LocalityRegistry {
            regions,
            zone_numbers: HashMap::new(),
            region_numbers: HashMap::new(),
        }
    }

    /// The locality of a zone.
    pub fn locality(&mut self, zone: &str) -> Locality {
        let region = self.regions.get(zone).map_or(zone, String::as_str);
        Locality {
            zone: intern(&mut self.zone_numbers, zone),
            region: intern(&mut self.region_numbers, region),
        }
    }
}

fn intern(interned: &mut HashMap<String, u16>, name: &str) -> u16 {
    if let Some(known) = interned.get(name) {
        return *known;
    }
    let next_number = interned.len() as u16;
    interned.insert(name.to_owned(), next_number);
    next_number
}
