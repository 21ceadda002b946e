//! Requests without faults: a plain response, a stream, split prefill and decode.

mod support;

use support::{ONCE, Proxy, RESUME, STREAM, Searcher, run};

#[test]
fn a_plain_response_is_forwarded_unchanged() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client
            .send_request(
                "/once/a%2Fb?q=1&",
                "id-1",
                "X-Own: yes\r\nPriority: 0\r\nStage: prefill\r\n",
                "question",
            )
            .await;
        let mut connection = searcher.accept().await;
        let (request, body) = connection.read_message().await;
        assert_eq!(request.first_line(), "POST /once/a%2Fb?q=1& HTTP/1.1");
        assert_eq!(request.field("request-identifier"), Some("id-1"));
        assert_eq!(request.field("expected-instance"), Some("i-1"));
        assert_eq!(request.field("priority"), Some("3"));
        assert_eq!(request.field("stage"), None);
        assert_eq!(request.field("x-own"), Some("yes"));
        let remaining_ms: u64 = request
            .field("deadline-remaining")
            .expect("a deadline")
            .parse()
            .expect("a number");
        assert!((4_000..5_000).contains(&remaining_ms), "{remaining_ms}");
        assert_eq!(body, "question");
        connection
            .respond(
                "200 OK",
                "id-1",
                "Server-Signature: s.1\r\nConnection: keep-alive\r\n",
                "roster",
            )
            .await;
        let (response, body) = client.read_message().await;
        assert_eq!(response.status(), 200);
        assert_eq!(response.field("server-signature"), Some("s.1"));
        assert_eq!(response.field("connection"), None);
        assert_eq!(body, "roster");
    });
}

#[test]
fn connections_on_both_sides_are_reused() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client.send_request(ONCE, "id-0", "", "").await;
        let mut connection = searcher.accept().await;
        for number in 0..3 {
            let identifier = format!("id-{number}");
            assert_eq!(
                connection
                    .read_message()
                    .await
                    .0
                    .field("request-identifier"),
                Some(&*identifier)
            );
            connection.respond_ok(&identifier, "roster").await;
            assert_eq!(client.read_message().await.1, "roster");
            client
                .send_request(ONCE, &format!("id-{}", number + 1), "", "")
                .await;
        }
    });
}

#[test]
fn a_decode_searcher_without_prefill_searchers_streams_event_by_event() {
    run(async {
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&decode]).await;
        let mut client = proxy.client().await;
        client.send_request(STREAM, "id-1", "", "prompt").await;
        let mut connection = decode.accept().await;
        connection.read_message().await;
        connection.send_stream_head("id-1").await;
        connection.send_chunk("id: 1\ndata: a\n\n").await;
        assert_eq!(client.read_head().await.status(), 200);
        assert_eq!(client.read_chunk().await, "id: 1\ndata: a\n\n");
        connection.send_chunk("id: 2\ndata: b\n\n").await;
        assert_eq!(client.read_chunk().await, "id: 2\ndata: b\n\n");
        connection.send_last_chunk().await;
        assert_eq!(client.read_chunk().await, "");
        client.send_request(STREAM, "id-2", "", "prompt").await;
        assert_eq!(
            connection
                .read_message()
                .await
                .0
                .field("request-identifier"),
            Some("id-2")
        );
    });
}

#[test]
fn the_kv_cache_is_transferred_from_prefill_to_decode_searcher() {
    run(async {
        let prefill = Searcher::prefill("p-1").await;
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&prefill, &decode]).await;
        let mut client = proxy.client().await;
        client
            .send_request(STREAM, "id-1", "Token-Counts: 9000,12\r\n", "prompt")
            .await;
        let mut prefill_connection = prefill.accept().await;
        let (call, body) = prefill_connection.read_message().await;
        assert_eq!(call.field("stage"), Some("prefill"));
        assert_eq!(call.field("expected-instance"), Some("p-1"));
        assert_eq!(body, "prompt");
        prefill_connection
            .respond(
                "200 OK",
                "id-1",
                "",
                r#"{"promptHandle":"3fa0","tokens":9,"version":1}"#,
            )
            .await;
        let mut connection = decode.accept().await;
        let (request, body) = connection.read_message().await;
        let source = format!("{}/3fa0", prefill.instance.address);
        assert_eq!(request.field("kv-from"), Some(&*source));
        assert_eq!(request.field("stage"), None);
        assert_eq!(body, "prompt");
        connection.send_stream_head("id-1").await;
        connection.send_chunk("id: 1\n\n").await;
        connection.send_last_chunk().await;
        client.read_head().await;
        assert_eq!(client.read_chunk().await, "id: 1\n\n");
        assert_eq!(client.read_chunk().await, "");
    });
}

#[test]
fn a_request_without_a_prompt_is_not_split() {
    run(async {
        let prefill = Searcher::prefill("p-1").await;
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&prefill, &decode]).await;
        let mut client = proxy.client().await;
        client.send_request(RESUME, "id-1", "", "").await;
        let mut connection = decode.accept().await;
        let (request, _) = connection.read_message().await;
        assert_eq!(request.field("kv-from"), None);
        connection.respond_ok("id-1", "ok").await;
        assert_eq!(client.read_message().await.1, "ok");
    });
}
