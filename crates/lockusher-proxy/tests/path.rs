//! The ordinary path: a plain answer, a stream, prefill and decode.

mod support;

use support::{ONCE, Proxy, RESUME, STREAM, Searcher, run};

#[test]
fn a_plain_answer_is_forwarded_unchanged() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client
            .ask(
                "/once/a%2Fb?q=1&",
                "id-1",
                "X-Own: yes\r\nPriority: 0\r\nStage: prefill\r\n",
                "question",
            )
            .await;
        let mut wire = searcher.accept().await;
        let (request, body) = wire.message().await;
        assert_eq!(request.line(), "POST /once/a%2Fb?q=1& HTTP/1.1");
        assert_eq!(request.field("request-identifier"), Some("id-1"));
        assert_eq!(request.field("expected-instance"), Some("i-1"));
        assert_eq!(request.field("priority"), Some("3"));
        assert_eq!(request.field("stage"), None);
        assert_eq!(request.field("x-own"), Some("yes"));
        let left: u64 = request
            .field("deadline-remaining")
            .expect("a deadline")
            .parse()
            .expect("a number");
        assert!((4_000..5_000).contains(&left), "{left}");
        assert_eq!(body, "question");
        wire.answer(
            "200 OK",
            "id-1",
            "Server-Signature: s.1\r\nConnection: keep-alive\r\n",
            "roster",
        )
        .await;
        let (answer, body) = client.message().await;
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.field("server-signature"), Some("s.1"));
        assert_eq!(answer.field("connection"), None);
        assert_eq!(body, "roster");
    });
}

#[test]
fn connections_on_both_sides_are_reused() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client.ask(ONCE, "id-0", "", "").await;
        let mut wire = searcher.accept().await;
        for number in 0..3 {
            let identifier = format!("id-{number}");
            assert_eq!(
                wire.message().await.0.field("request-identifier"),
                Some(&*identifier)
            );
            wire.succeed(&identifier, "roster").await;
            assert_eq!(client.message().await.1, "roster");
            client
                .ask(ONCE, &format!("id-{}", number + 1), "", "")
                .await;
        }
    });
}

#[test]
fn a_decode_searcher_alone_streams_event_by_event() {
    run(async {
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&decode]).await;
        let mut client = proxy.client().await;
        client.ask(STREAM, "id-1", "", "prompt").await;
        let mut wire = decode.accept().await;
        wire.message().await;
        wire.begin_stream("id-1").await;
        wire.chunk("id: 1\ndata: a\n\n").await;
        assert_eq!(client.head().await.status(), 200);
        assert_eq!(client.read_chunk().await, "id: 1\ndata: a\n\n");
        wire.chunk("id: 2\ndata: b\n\n").await;
        assert_eq!(client.read_chunk().await, "id: 2\ndata: b\n\n");
        wire.end_chunks().await;
        assert_eq!(client.read_chunk().await, "");
        client.ask(STREAM, "id-2", "", "prompt").await;
        assert_eq!(
            wire.message().await.0.field("request-identifier"),
            Some("id-2")
        );
    });
}

#[test]
fn prefill_and_decode_searchers_hand_the_kv_cache_over() {
    run(async {
        let prefill = Searcher::prefill("p-1").await;
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&prefill, &decode]).await;
        let mut client = proxy.client().await;
        client
            .ask(STREAM, "id-1", "Token-Counts: 9000,12\r\n", "prompt")
            .await;
        let mut reader = prefill.accept().await;
        let (call, body) = reader.message().await;
        assert_eq!(call.field("stage"), Some("prefill"));
        assert_eq!(call.field("expected-instance"), Some("p-1"));
        assert_eq!(body, "prompt");
        reader
            .answer(
                "200 OK",
                "id-1",
                "",
                r#"{"promptHandle":"3fa0","tokens":9,"version":1}"#,
            )
            .await;
        let mut wire = decode.accept().await;
        let (request, body) = wire.message().await;
        let source = format!("{}/3fa0", prefill.instance.address);
        assert_eq!(request.field("kv-from"), Some(&*source));
        assert_eq!(request.field("stage"), None);
        assert_eq!(body, "prompt");
        wire.begin_stream("id-1").await;
        wire.chunk("id: 1\n\n").await;
        wire.end_chunks().await;
        client.head().await;
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
        client.ask(RESUME, "id-1", "", "").await;
        let mut wire = decode.accept().await;
        let (request, _) = wire.message().await;
        assert_eq!(request.field("kv-from"), None);
        wire.succeed("id-1", "ok").await;
        assert_eq!(client.message().await.1, "ok");
    });
}
