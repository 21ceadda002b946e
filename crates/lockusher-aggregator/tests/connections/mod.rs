//! Connections to one searcher without a router, for stories.

use std::rc::Rc;

use lockusher_aggregator::config;
use lockusher_aggregator::protocol::frame::CallPart;
use lockusher_aggregator::routing::Arrival;
use lockusher_aggregator::routing::searcher_transport::{Carrier, May, Sent};
use lockusher_aggregator::transport::frame_transport::Searchers;
use lockusher_aggregator_testbed::stand_in::*;
use lockusher_multiget::list::Place;
use lockusher_policy::interface::*;
use serde_json::json;

/// A part as the router hands it over, by its shard.
pub fn call(shard: usize) -> Vec<Sent> {
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
        Rc::new(|| May::Leave),
    )]
}

/// A line of the list for a searcher that is up.
pub fn up(id: &str) -> Listed {
    let (id, state) = (SearcherId::new(id), SearcherState::Up);
    Listed {
        id,
        cell: Cell(0),
        zone: None,
        state,
        up_since: None,
        rating: 1.0,
    }
}

/// Connections to one searcher without a router.
pub fn on_connections(
    setup: Setup,
    story: impl AsyncFnOnce(&Searcher, &mut Searchers, &mut tokio::sync::mpsc::Receiver<Arrival>),
) {
    let searcher = Searcher::start("s0");
    let text = json!({ "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
        "limits": { "sockets": setup.sockets }, "settings": settings(&setup) });
    let sockets = config::parse(&text.to_string(), |_| None)
        .expect("a configuration")
        .sockets;
    actix_rt::System::new().block_on(async {
        let (queue, mut arrivals) = tokio::sync::mpsc::channel(8);
        let mut searchers = Searchers::new(sockets, queue, Rc::default());
        searchers.at(
            &up("s0"),
            Place {
                address: searcher.address,
                http2: false,
            },
        );
        story(&searcher, &mut searchers, &mut arrivals).await;
    });
}
