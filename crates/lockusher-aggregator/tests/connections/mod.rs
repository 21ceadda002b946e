//! Runs tests on connections to one searcher, without a router.

use std::rc::Rc;

use lockusher_aggregator::config;
use lockusher_aggregator::protocol::frame::CallPart;
use lockusher_aggregator::routing::RouterEvent;
use lockusher_aggregator::routing::searcher_transport::{
    OutgoingPart, Permission, SearcherTransport,
};
use lockusher_aggregator::transport::frame_transport::FrameTransport;
use lockusher_aggregator_testbed::stand_in::*;
use lockusher_multiget::list::SearcherEndpoint;
use lockusher_policy::interface::*;
use serde_json::json;

/// A call with one part, as the router passes it to the transport.
pub fn call(shard: usize) -> Vec<OutgoingPart> {
    let (id, wait) = (PartId::new(&format!("q.{shard}")), Span::from_millis(4_000));
    vec![(
        0,
        CallPart {
            id,
            shard: Shard(shard),
            wait,
            first_step: None,
            text: "x".into(),
        },
        Rc::new(|| Permission::Send),
    )]
}

/// A list entry of a searcher that is up.
pub fn up(id: &str) -> SearcherEntry {
    let (id, state) = (SearcherId::new(id), SearcherState::Up);
    SearcherEntry {
        id,
        cell: Cell(0),
        zone: None,
        state,
        up_since: None,
        rating: 1.0,
    }
}

/// Runs a test on connections to one searcher, without a router.
pub fn on_connections(
    setup: Setup,
    test: impl AsyncFnOnce(
        &Searcher,
        &mut FrameTransport,
        &mut tokio::sync::mpsc::Receiver<RouterEvent>,
    ),
) {
    let searcher = Searcher::start("s0");
    let text = json!({ "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
        "limits": { "sockets": setup.sockets }, "settings": settings(&setup) });
    let sockets = config::parse(&text.to_string(), |_| None)
        .expect("a configuration")
        .sockets;
    actix_rt::System::new().block_on(async {
        let (queue, mut arrivals) = tokio::sync::mpsc::channel(8);
        let mut searchers = FrameTransport::new(sockets, queue, Rc::default());
        searchers.set_address(
            &up("s0"),
            SearcherEndpoint {
                address: searcher.address,
                http2: false,
            },
        );
        test(&searcher, &mut searchers, &mut arrivals).await;
    });
}
