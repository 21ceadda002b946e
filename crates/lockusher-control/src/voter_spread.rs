//! How voters are spread over failure domains, so that the loss of a zone or region leaves a majority of them.
//!
//! Pure; used by [`view_change`](crate::view_change). A chain is a majority of the voters. So if the voters outside of the
//! lost domains are a majority too, one of them is in the chain and has stored all that was acknowledged: it is enough to
//! spread the voters.

use std::collections::BTreeMap;

use crate::locality::{Locality, ToleratedDomains};
use crate::view::{Identity, Member};

/// What is known of the voters' and candidates' failure domains.
#[derive(Clone, Debug, Default)]
pub struct VoterSpread {
    /// Domains that may be lost at once.
    pub tolerated: ToleratedDomains,
    /// Where nodes stand, as far as they have said so.
    pub localities: BTreeMap<Identity, Locality>,
}

/// How unevenly voters are spread; less is better. Always the default where no domain may be lost as a whole.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Imbalance {
    /// How many votes are missing to a majority after the worst loss of domains that is tolerated; 0 if none is.
    pub shortfall: usize,
    /// Voters that are lost by it. With the same shortfall, fewer are nearer to none.
    pub largest_loss: usize,
}

impl VoterSpread {
    /// How unevenly these voters are spread. A voter whose domain isn't known counts as alone in its own.
    pub fn imbalance(&self, voters: &[Member]) -> Imbalance {
        let zones = self.largest(voters, self.tolerated.zones, |locality| {
            locality.zone.as_str()
        });
        let regions = self.largest(voters, self.tolerated.regions, |locality| {
            locality.region.as_str()
        });
        let bearable = voters.len().saturating_sub(1) / 2;
        let largest_loss = zones.max(regions);
        Imbalance {
            shortfall: largest_loss.saturating_sub(bearable),
            largest_loss,
        }
    }

    /// Voters in the `count` domains that have the most of them.
    fn largest<'a>(
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
