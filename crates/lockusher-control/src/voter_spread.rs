//! Spread of the voters over failure domains, so that the loss of a zone or region leaves a majority of them.
//!
//! Used by [`view_change`](crate::view_change). It suffices to spread the voters: a chain is a majority of them, so if
//! the voters outside of the lost domains are a majority too, at least one of these is in the chain and has stored all
//! acknowledged entries.

use std::collections::BTreeMap;

use crate::locality::{Locality, ToleratedDomains};
use crate::view::{Identity, Member};

/// The known failure domains of voters and candidates.
#[derive(Clone, Debug, Default)]
pub struct VoterSpread {
    /// Domains that may be lost at the same time.
    pub tolerated: ToleratedDomains,
    /// Localities of the nodes that have reported them.
    pub localities: BTreeMap<Identity, Locality>,
}

/// How unevenly voters are spread; lower is better. Always the default if the loss of a whole domain isn't tolerated.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Imbalance {
    /// Number of votes that a majority would lack after the worst tolerated loss of domains; 0 if it would lack none.
    pub shortfall: usize,
    /// Number of voters lost in that case. With equal shortfalls, a smaller loss is closer to a shortfall of 0.
    pub largest_loss: usize,
}

impl VoterSpread {
    /// The imbalance of these voters. A voter whose domain isn't known counts as the only one of its domain.
    pub fn imbalance(&self, voters: &[Member]) -> Imbalance {
        let zones = self.voters_in_largest_domains(voters, self.tolerated.zones, |locality| {
            locality.zone.as_str()
        });
        let regions = self.voters_in_largest_domains(voters, self.tolerated.regions, |locality| {
            locality.region.as_str()
        });
        let tolerable_loss = voters.len().saturating_sub(1) / 2;
        let largest_loss = zones.max(regions);
        Imbalance {
            shortfall: largest_loss.saturating_sub(tolerable_loss),
            largest_loss,
        }
    }

    /// Number of voters in the `count` domains that have the most voters.
    fn voters_in_largest_domains<'a>(
        &'a self,
        voters: &[Member],
        count: usize,
        domain: impl Fn(&'a Locality) -> &'a str,
    ) -> usize {
        if count == 0 {
            return 0;
        }
        let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
        let mut unknown = 0;
        for voter in voters {
            match self.localities.get(&voter.identity) {
                Some(locality) => *sizes.entry(domain(locality)).or_default() += 1,
                None => unknown += 1,
            }
        }
        let mut sizes: Vec<usize> = sizes.into_values().collect();
        sizes.extend(std::iter::repeat_n(1, unknown));
        sizes.sort_unstable_by(|first, second| second.cmp(first));
        sizes.into_iter().take(count).sum()
    }
}
