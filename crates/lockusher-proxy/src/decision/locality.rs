//! Locality: the zone and region of proxies and searchers, and the distance between two of them.
//!
//! Names of zones become numbers, so that a choice among many searchers compares integers. The registry is owned by
//! `RequestRouter`.

use std::collections::{BTreeMap, HashMap};

/// A zone and its region, by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Locality {
    zone: u16,
    region: u16,
}

/// How far two localities are from each other.
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

/// Numbers for the names of zones.
#[derive(Debug)]
pub struct LocalityRegistry {
    regions: BTreeMap<String, String>,
    zone_numbers: HashMap<String, u16>,
    region_numbers: HashMap<String, u16>,
}

impl LocalityRegistry {
    /// `regions`: the region of each zone; a zone that isn't listed is a region of its own.
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
            zone: number(&mut self.zone_numbers, zone),
            region: number(&mut self.region_numbers, region),
        }
    }
}

fn number(numbers: &mut HashMap<String, u16>, name: &str) -> u16 {
    if let Some(known) = numbers.get(name) {
        return *known;
    }
    let next = numbers.len() as u16;
    numbers.insert(name.to_owned(), next);
    next
}
