//! Requests of clients: limits, invalid requests, chunked and slow bodies, routes, readiness, idle connections.

mod support;

use std::rc::Rc;

use lockusher_distribution::subscribe::FeedUpdate;
use support::{Ending, HOST, ONCE, Proxy, Searcher, configuration, run};
use yare::parameterized;

fn head(path: &str, fields: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{fields}\r\n")
}

#[parameterized(
    no_route = { "/other/", "Request-Identifier: id-1\r\nContent-Length: 0\r\n", 404 },
    no_identifier = { ONCE, "Content-Length: 0\r\n", 400 },
    empty_identifier = { ONCE, "Request-Identifier:\r\nContent-Length: 0\r\n", 400 },
    two_identifiers = { ONCE, "Request-Identifier: a\r\nRequest-Identifier: b\r\nContent-Length: 0\r\n", 400 },
    large_body = { ONCE, "Request-Identifier: id-1\r\nContent-Length: 65537\r\n", 413 },
)]
fn an_invalid_request_gets_its_own_status(path: &str, fields: &str, status: u16) {
    run(async {
        let proxy = Proxy::serving(&[]).await;
        let mut client = proxy.client().await;
        client.write(&head(path, fields)).await;
        let (response, _) = client.read_message().await;
        assert_eq!(response.status(), status);
        assert_eq!(response.field("server-signature"), None);
    });
}

#[test]
fn a_chunked_body_that_grows_too_large_is_refused() {
    run(async {
        let proxy = Proxy::serving(&[]).await;
        let mut client = proxy.client().await;
        client
            .write(&head(
                ONCE,
                "Request-Identifier: id-1\r\nTransfer-Encoding: chunked\r\n",
            ))
            .await;
        client.send_chunk(&"x".repeat(40_000)).await;
        client.send_chunk(&"x".repeat(40_000)).await;
        assert_eq!(client.read_message().await.0.status(), 413);
    });
}

#[test]
fn a_head_over_the_limit_is_refused() {
    run(async {
        let proxy = Proxy::serving(&[]).await;
        let mut client = proxy.client().await;
        let filler = format!("X-Filler: {}\r\n", "x".repeat(17_000));
        client.write(&head(ONCE, &filler)).await;
        assert_eq!(client.read_message().await.0.status(), 431);
    });
}

#[test]
fn a_connection_with_an_incomplete_head_is_closed() {
    run(async {
        let proxy = Proxy::serving(&[]).await;
        let mut client = proxy.client().await;
        client.write("POST /once/ HTTP/1.1\r\nHost: desk").await;
        assert_eq!(client.read_to_end().await, (String::new(), Ending::Closed));
    });
}

#[test]
fn a_body_slower_than_the_deadline_ends_with_408() {
    run(async {
        let proxy = Proxy::serving(&[]).await;
        let mut client = proxy.client().await;
        let fields =
            "Request-Identifier: id-1\r\nDeadline-Remaining: 100\r\nContent-Length: 10\r\n";
        client.write(&head(ONCE, fields)).await;
        client.write("half").await;
        assert_eq!(client.read_message().await.0.status(), 408);
    });
}

#[test]
fn a_chunked_body_reaches_the_searcher_complete() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client
            .write(&head(
                ONCE,
                "Request-Identifier: id-1\r\nTransfer-Encoding: chunked\r\n",
            ))
            .await;
        for part in ["first ", "second ", "third"] {
            client.send_chunk(part).await;
        }
        client.send_last_chunk().await;
        let mut connection = searcher.accept().await;
        let (request, body) = connection.read_message().await;
        assert_eq!(request.field("transfer-encoding"), None);
        assert_eq!(body, "first second third");
    });
}

#[test]
fn an_added_route_is_served_and_a_removed_one_is_not() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut next = configuration(7);
        next.routes.retain(|route| route.path_prefix != ONCE);
        let mut added = next.routes[0].clone();
        added.path_prefix = "/repeat/more/".to_owned();
        next.routes.push(added);
        proxy.send_update(FeedUpdate::Configuration(Rc::new(next)));
        let mut client = proxy.client().await;
        client.send_request(ONCE, "id-1", "", "").await;
        assert_eq!(client.read_message().await.0.status(), 404);
        client.send_request("/repeat/more/x", "id-2", "", "").await;
        let mut connection = searcher.accept().await;
        connection.read_message().await;
        connection.respond_ok("id-2", "roster").await;
        assert_eq!(client.read_message().await.1, "roster");
    });
}

#[test]
fn a_proxy_is_ready_once_it_has_a_configuration_and_an_instance_list() {
    run(async {
        let proxy = Proxy::unconfigured();
        assert_eq!(proxy.readiness_status().await, 503);
        proxy.send_update(FeedUpdate::Configuration(Rc::new(configuration(1))));
        assert_eq!(proxy.readiness_status().await, 503);
        let mut client = proxy.client().await;
        client.send_request(ONCE, "id-1", "", "").await;
        assert_eq!(client.read_message().await.0.status(), 503);
        proxy.update_instances(&[]);
        proxy.wait_until_ready().await;
    });
}

#[test]
fn when_descriptors_run_out_the_longest_idle_client_is_closed() {
    run(async {
        // 220 descriptors are reserved for other uses, which leaves eight.
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::with_settings(|settings| settings.limits.file_descriptors = 228);
        proxy.configure(&[&searcher]).await;
        let mut clients = Vec::new();
        for number in 0..8 {
            let mut client = proxy.client().await;
            client
                .send_request("/other/", &format!("id-{number}"), "", "")
                .await;
            assert_eq!(client.read_message().await.0.status(), 404);
            clients.push(client);
        }
        let mut late = proxy.client().await;
        late.send_request("/other/", "id-late", "", "").await;
        assert_eq!(late.read_message().await.0.status(), 404);
        assert_eq!(
            clients[0].read_to_end().await,
            (String::new(), Ending::Closed)
        );
    });
}

#[test]
fn bodies_beyond_the_reserved_memory_are_refused() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::with_settings(|settings| settings.limits.memory_mb = 0);
        proxy.configure(&[&searcher]).await;
        let mut client = proxy.client().await;
        client.send_request(ONCE, "id-1", "", "body").await;
        let (response, _) = client.read_message().await;
        assert_eq!(response.status(), 503);
        assert!(response.field("retry-after").is_some());
    });
}

#[test]
fn idle_clients_are_closed_after_their_timeout() {
    run(async {
        let proxy = Proxy::serving(&[]).await;
        let mut client = proxy.client().await;
        client.send_request("/other/", "id-1", "", "").await;
        assert_eq!(client.read_message().await.0.status(), 404);
        let mut next = configuration(2);
        next.limits.idle_timeout_ms = 300;
        proxy.send_update(FeedUpdate::Configuration(Rc::new(next)));
        assert_eq!(client.read_to_end().await, (String::new(), Ending::Closed));
    });
}
