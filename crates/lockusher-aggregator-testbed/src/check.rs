//! Compares what was told, at which instant, with what left for searchers. It knows what the registry held at each
//! revision, and nothing of what a mixer thinks. Pure: instants are spans since the run began.

use std::collections::{BTreeMap, HashMap};

use lockusher_policy::interface::Span;

/// What the registry says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    Draining,
    Absent,
}

/// A send that left for a host after the grace.
#[derive(Clone, Debug, PartialEq)]
pub struct Late {
    pub host: String,
    pub at: Span,
    /// When the mixer was first told that it should get nothing new.
    pub told: Span,
}

/// What the registry held, host by host.
#[derive(Default)]
pub struct Truth {
    hosts: HashMap<String, BTreeMap<u64, State>>,
}

impl Truth {
    /// A host is in this state from a revision on.
    pub fn note(&mut self, revision: u64, host: &str, state: State) {
        self.hosts
            .entry(host.to_owned())
            .or_default()
            .insert(revision, state);
    }

    pub fn at(&self, revision: u64, host: &str) -> State {
        let states = self.hosts.get(host);
        let state = states.and_then(|states| states.range(..=revision).next_back());
        state.map_or(State::Absent, |(_, state)| *state)
    }

    pub fn now(&self, host: &str) -> State {
        self.at(u64::MAX, host)
    }

    pub fn hosts(&self) -> impl Iterator<Item = &str> {
        self.hosts.keys().map(String::as_str)
    }

    /// The sends that left later than the grace after their host was told to get nothing new, and before it was told
    /// to be up again. `told` is everything that was told up to a revision, with its instant; what goes back to an
    /// earlier revision tells nothing. Of a host that came and went between two tellings, the later one counts.
    pub fn late(&self, told: &[(Span, u64)], sends: &[(String, Span)], grace: Span) -> Vec<Late> {
        let mut ordered = told.to_vec();
        ordered.sort();
        let mut newest = 0;
        ordered.retain(|(_, revision)| {
            let newer = *revision > newest;
            newest = newest.max(*revision);
            newer
        });
        let mut late = Vec::new();
        for (host, at) in sends {
            let until = ordered.partition_point(|(told, _)| told <= at);
            // Back to the first of the tellings in a row that say so.
            let said = ordered[..until]
                .iter()
                .rev()
                .take_while(|(_, r)| self.at(*r, host) != State::Up);
            if let Some((told, _)) = said.last()
                && at.saturating_sub(*told) > grace
            {
                late.push(Late {
                    host: host.clone(),
                    at: *at,
                    told: *told,
                });
            }
        }
        late
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    /// Up from revision 2, draining from 5, up again from 9, absent from 12; told at 1 s up to 2, and so on.
    fn truth() -> (Truth, Vec<(Span, u64)>) {
        let mut truth = Truth::default();
        for (revision, state) in [
            (2, State::Up),
            (5, State::Draining),
            (9, State::Up),
            (12, State::Absent),
        ] {
            truth.note(revision, "h", state);
        }
        let told = [(1_000, 2), (2_000, 5), (2_500, 7), (6_000, 9), (7_000, 12)];
        (
            truth,
            told.map(|(ms, revision)| (Span::from_millis(ms), revision))
                .to_vec(),
        )
    }

    #[rstest]
    #[case::while_up(1_500, None)]
    #[case::within_the_grace(3_900, None)]
    #[case::past_the_grace_though_told_again(4_200, Some(2_000))]
    #[case::up_again(6_100, None)]
    #[case::gone_within_the_grace(8_500, None)]
    #[case::gone(9_500, Some(7_000))]
    fn a_late_send_is_found(#[case] at: u64, #[case] told: Option<u64>) {
        let (truth, tellings) = truth();
        let sends = [("h".to_owned(), Span::from_millis(at))];
        let late = truth.late(&tellings, &sends, Span::from_millis(2_000));
        assert_eq!(
            late.first().map(|late| late.told),
            told.map(Span::from_millis)
        );
    }

    /// What a lagging member says of the past takes nothing back.
    #[rstest]
    fn what_goes_back_tells_nothing() {
        let (truth, mut tellings) = truth();
        tellings.push((Span::from_millis(2_200), 3));
        let sends = [("h".to_owned(), Span::from_millis(4_200))];
        assert_eq!(
            truth
                .late(&tellings, &sends, Span::from_millis(2_000))
                .len(),
            1
        );
    }
}
