//! The published list marks searchers that are changing their stage as changing.

use std::rc::Rc;

use lockusher_config::instances::{Instance, InstanceState, Stage};
use lockusher_control::driver::stage_switch_overlay::StageSwitchOverlay;
use lockusher_control::stage_scheduler::StageChange;

fn searcher(identifier: &str, stage: Stage, state: InstanceState) -> Instance {
    Instance {
        identifier: identifier.to_owned(),
        service: "llm".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "north".to_owned(),
        version: "v1".to_owned(),
        slots: 8,
        state,
        warm_up_remaining_ms: 0,
        stage: Some(stage),
        models: Vec::new(),
    }
}

fn change(identifier: &str, from: Stage, to: Stage) -> StageChange {
    StageChange {
        service: "llm".to_owned(),
        identifier: identifier.to_owned(),
        address: "10.0.0.1:80".to_owned(),
        from,
        to,
    }
}

#[test]
fn a_searcher_is_marked_as_changing_until_it_serves_its_new_stage_or_drains() {
    let mut overlay = StageSwitchOverlay::default();
    let ready = Rc::new(vec![
        searcher("a", Stage::Decode, InstanceState::Ready),
        searcher("b", Stage::Decode, InstanceState::Ready),
    ]);
    assert!(Rc::ptr_eq(&overlay.apply(&ready), &ready));

    let change = change("a", Stage::Decode, Stage::Prefill);
    assert!(overlay.set([&change].into_iter()));
    assert!(
        !overlay.set([&change].into_iter()),
        "the same changes again"
    );
    let states: Vec<InstanceState> = overlay
        .apply(&ready)
        .iter()
        .map(|searcher| searcher.state)
        .collect();
    assert_eq!(states, [InstanceState::Changing, InstanceState::Ready]);

    let changed = Rc::new(vec![searcher("a", Stage::Prefill, InstanceState::Ready)]);
    assert!(Rc::ptr_eq(&overlay.apply(&changed), &changed));
    let draining = Rc::new(vec![searcher("a", Stage::Decode, InstanceState::Draining)]);
    assert!(Rc::ptr_eq(&overlay.apply(&draining), &draining));

    assert!(overlay.set(std::iter::empty()));
    assert!(Rc::ptr_eq(&overlay.apply(&ready), &ready));
}
