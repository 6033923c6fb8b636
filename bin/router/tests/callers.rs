//! Responses, errors and cancelled streams that callers get from a router process.

mod support;

use {
    attohttpc::Method,
    std::{
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpStream},
        time::Duration,
    },
    support::{KEY, Site, chat, is_correct, place_order, request, wait_until},
};

struct Case {
    name: &'static str,
    /// Bytes of the request; the write side is closed after them if `closes`.
    bytes: String,
    closes: bool,
    status: u16,
    code: &'static str,
}

fn chat_request(key: &str, class_header: &str, body: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer {key}\r\n{class_header}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn case(name: &'static str, bytes: String, status: u16, code: &'static str) -> Case {
    Case {
        name,
        bytes,
        closes: false,
        status,
        code,
    }
}

fn cases() -> Vec<Case> {
    let body = r#"{"model":"assistant","messages":[{"role":"user","content":"hi #2"}]}"#;
    let other_model = body.replace("assistant", "other");
    let large = "x".repeat(20_000);
    let call = |path: &str, key: &str| {
        format!("POST {path} HTTP/1.1\r\nAuthorization: Bearer {key}\r\nContent-Length: 0\r\n\r\n")
    };
    let mut early_end = case(
        "a body that ends early",
        chat_request(KEY, "", body).replace("Content-Length: ", "Content-Length: 1"),
        400,
        "body_incomplete",
    );
    early_end.closes = true;
    vec![
        case(
            "a wrong key",
            chat_request("wrong", "", body),
            401,
            "unauthenticated",
        ),
        case(
            "an unknown model",
            chat_request(KEY, "", &other_model),
            404,
            "unknown_model",
        ),
        case(
            "a forbidden model",
            chat_request("key-locked", "", body),
            403,
            "forbidden",
        ),
        case(
            "an unknown class",
            chat_request(KEY, "X-Urgency-Class: soon\r\n", body),
            400,
            "unknown_class",
        ),
        case(
            "broken JSON",
            chat_request(KEY, "", "{\"model\":"),
            400,
            "bad_json",
        ),
        case(
            "no messages",
            chat_request(KEY, "", r#"{"model":"assistant"}"#),
            400,
            "bad_json",
        ),
        case(
            "an oversized body",
            chat_request(KEY, "", &large),
            413,
            "body_too_large",
        ),
        case(
            "an incomplete head",
            "POST /v1/chat/compl".into(),
            408,
            "head_timeout",
        ),
        early_end,
        case("an unknown path", call("/nowhere", KEY), 404, "not_found"),
        case(
            "an unknown service",
            call("/svc/none/x", KEY),
            404,
            "unknown_service",
        ),
        case(
            "a forbidden service",
            call("/svc/desk/x", "key-locked"),
            403,
            "forbidden",
        ),
        case(
            "no idempotency key",
            call("/svc/desk/orders", KEY),
            400,
            "idempotency_key_required",
        ),
    ]
}

fn exchange(address: SocketAddr, case: &Case) -> String {
    let mut socket = TcpStream::connect(address).expect("the router listens");
    // A router that refuses early may not read the whole request.
    socket.write_all(case.bytes.as_bytes()).ok();
    if case.closes {
        socket
            .shutdown(Shutdown::Write)
            .expect("the socket is open");
    }
    let mut response = Vec::new();
    socket.read_to_end(&mut response).ok();
    String::from_utf8_lossy(&response).into_owned()
}

#[test]
fn invalid_requests_are_refused_and_counted_and_affect_no_others() {
    let site = Site::start(1, 1, 4, Duration::from_millis(2));
    let router = &site.routers[0];
    for case in cases() {
        let counter = format!("baobab_refusals_total{{reason=\"{}\"}}", case.code);
        let before = router.metric(&counter);
        let response = exchange(router.caller_address, &case);
        let status = format!("HTTP/1.1 {} ", case.status);
        assert!(response.starts_with(&status), "{}: {response}", case.name);
        assert!(
            response.contains("application/problem+json"),
            "{}",
            case.name
        );
        let code = format!("\"code\":\"{}\"", case.code);
        assert!(response.contains(&code), "{}: {response}", case.name);
        assert!(
            response.contains("\"ran\":\"no\""),
            "{}: {response}",
            case.name
        );
        assert_eq!(router.metric(&counter), before + 1, "{}", case.name);
        let following = chat(router.caller_address, case.name, 3).expect("the router responds");
        assert!(
            is_correct(following, case.name, 3),
            "{} affects others",
            case.name
        );
    }
}

#[test]
fn responses_are_streamed_or_sent_whole() {
    let site = Site::start(1, 2, 4, Duration::from_millis(2));
    let router = site.routers[0].caller_address;
    for number in 0..10 {
        let name = format!("case {number}");
        let response = chat(router, &name, 20).expect("the router responds");
        assert!(is_correct(response, &name, 20));
    }
    let body = r#"{"model":"assistant","messages":[{"role":"user","content":"plain #7"}]}"#;
    let response: serde_json::Value = request(Method::POST, router, "/v1/chat/completions")
        .bytes(body.as_bytes().to_vec())
        .send()
        .expect("the router responds")
        .json()
        .expect("the body is JSON");
    let expected = baobab_standin::text::Generator::new("plain #7").response();
    assert_eq!(
        response["choices"][0]["message"]["content"],
        expected.as_str()
    );
    assert_eq!(response["usage"]["completion_tokens"], 7);
    let models: serde_json::Value = request(Method::GET, router, "/v1/models")
        .send()
        .expect("the router responds")
        .json()
        .expect("the body is JSON");
    assert_eq!(models["data"][0]["id"], "assistant");
}

#[test]
fn the_stream_of_a_disconnected_caller_is_cancelled() {
    let site = Site::start(1, 1, 4, Duration::from_millis(10));
    let response =
        chat(site.routers[0].caller_address, "long", 100_000).expect("the router responds");
    let (_, _, mut reader) = response.split();
    let mut some = [0; 64];
    reader.read_exact(&mut some).expect("tokens arrive");
    assert_eq!(site.engines[0].batch().stats().running, 1);
    drop(reader);
    wait_until("the engine stops", || {
        let stats = site.engines[0].batch().stats();
        stats.running == 0 && stats.cancelled == 1
    });
    wait_until("the caller is counted", || {
        site.routers[0].metric("baobab_callers_gone_total") == 1
    });
}

#[test]
fn a_full_queue_refuses_at_once_with_retry_after() {
    let site = Site::start(1, 1, 1, Duration::from_millis(10));
    let limited = site.declarations("").replace(
        "[workspace.north]\n",
        "[workspace.north]\nqueue_limit = 1\n",
    );
    let version = site.apply(&limited);
    let router = &site.routers[0];
    wait_until("the limit is active", || router.config_version() == version);
    let callers = router.caller_address;
    let start = |name: &'static str| {
        std::thread::spawn(move || {
            is_correct(
                chat(callers, name, 200).expect("the router responds"),
                name,
                200,
            )
        })
    };
    let mut streams = vec![start("first")];
    wait_until("one stream runs", || router.metric("baobab_streams ") == 1);
    streams.push(start("second"));
    wait_until("one request waits", || {
        router.metric("baobab_waiting ") == 1
    });
    let refused = chat(callers, "refused", 1).expect("the router responds");
    assert_eq!(refused.status().as_u16(), 429);
    assert!(refused.headers().contains_key("retry-after"));
    let body = refused.text().expect("the response has a body");
    assert!(
        body.contains("queue_full") && body.contains("\"ran\":\"no\""),
        "{body}"
    );
    for thread in streams {
        assert!(
            thread.join().expect("no thread panics"),
            "affected by the refusal"
        );
    }
}

#[test]
fn an_engine_that_refuses_connections_is_rarely_tried() {
    let site = Site::start(1, 1, 4, Duration::from_millis(2));
    let unreachable =
        "[engine.dead]\nmodel = assistant\ndomain = couva\naddress = 127.0.0.1:1\nslots = 4\n";
    let version = site.apply(&site.declarations(unreachable));
    let router = &site.routers[0];
    wait_until("the unreachable engine is declared", || {
        router.config_version() == version
    });
    // With a stream on the healthy engine, the unreachable one is less loaded.
    let _stream = chat(router.caller_address, "held", 100_000).expect("the router responds");
    for number in 0..30 {
        let name = format!("case {number}");
        let response = chat(router.caller_address, &name, 5).expect("the router responds");
        assert!(is_correct(response, &name, 5), "request {number}");
    }
    let retries = router.metric("baobab_retries_total{reason=\"engine_unreachable\"}");
    assert!((1..20).contains(&retries), "{retries} of 30");
}

#[test]
fn calls_are_forwarded_to_services() {
    let site = Site::start(1, 1, 4, Duration::from_millis(2));
    let router = site.routers[0].caller_address;
    let response = place_order(router, Some("k1"), "one gasket").expect("the router responds");
    let expected = baobab_standin::service::expected_response("POST", "/orders", b"one gasket");
    assert_eq!(response.text().expect("the response has a body"), expected);
    let again = place_order(router, Some("k1"), "one gasket").expect("the router responds");
    assert_eq!(again.text().expect("the response has a body"), expected);
    let other = place_order(router, Some("k1"), "two gaskets").expect("the router responds");
    assert_eq!(other.status().as_u16(), 422);
    assert_eq!(site.service.stats().executions["k1"], 1);
}
