//! Streams that break, stall, or repeat or skip events, from a faulty engine through a router.

mod support;

use {
    baobab_standin::text::{Generator, prompt_with_length},
    baobab_web::{Handler, Limits, Rejection, Request, ResponseWriter, Server},
    std::{
        collections::BTreeSet,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
    support::{Site, chat, is_correct, wait_until},
};

const TOKENS: u64 = 12;

/// Fault of the engine, on the first attempt unless the variant says otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Disconnects,
    EndsEarly,
    RepeatsEvent,
    SkipsEvent,
    Stalls,
    WrongRequestId,
    MalformedEvent,
    AlwaysDisconnects,
    DisconnectsOncePerRequest,
}

struct FaultyEngine {
    fault: Fault,
    attempts: Arc<AtomicU64>,
    seen_ids: Mutex<BTreeSet<String>>,
}

impl Handler for FaultyEngine {
    fn handle(&self, request: Request, writer: ResponseWriter) {
        if request.path != "/v1/chat/completions" {
            writer.send(200, &[], b"").ok();
            return;
        }
        let is_first_attempt = self.attempts.fetch_add(1, Ordering::Relaxed) == 0;
        let json: serde_json::Value =
            serde_json::from_slice(&request.body).expect("the router sends JSON");
        let prompt = json["messages"][0]["content"]
            .as_str()
            .expect("the prompt is text");
        let offset: u64 = request
            .header("x-resume-offset")
            .and_then(|text| text.parse().ok())
            .expect("the router sends the offset");
        let request_id = request.header("x-request-id").unwrap_or_default();
        let is_first_of_request = self
            .seen_ids
            .lock()
            .expect("no thread panics")
            .insert(request_id.to_owned());
        let is_faulty = match self.fault {
            Fault::AlwaysDisconnects => true,
            Fault::DisconnectsOncePerRequest => is_first_of_request,
            _ => is_first_attempt,
        };
        let id = if is_faulty && self.fault == Fault::WrongRequestId {
            "another"
        } else {
            request_id
        };
        let mut stream = writer
            .stream(200, &[("X-Request-Id", id)])
            .expect("the router reads");
        let generator = Generator::new(prompt);
        for index in offset..generator.tokens() {
            let event = event(index, generator.token(index));
            if is_faulty && index == TOKENS / 2 {
                match self.fault {
                    Fault::Disconnects
                    | Fault::AlwaysDisconnects
                    | Fault::DisconnectsOncePerRequest => return,
                    Fault::EndsEarly => {
                        stream.finish().ok();
                        return;
                    }
                    Fault::RepeatsEvent => {
                        stream.send(event.as_bytes()).ok();
                    }
                    Fault::SkipsEvent => continue,
                    Fault::Stalls => thread::sleep(Duration::from_secs(4)),
                    Fault::MalformedEvent => {
                        stream.send(b"id: x\ndata: {nonsense\n\n").ok();
                    }
                    Fault::WrongRequestId => {}
                }
            }
            if stream.send(event.as_bytes()).is_err() {
                return;
            }
        }
        stream.send(b"data: [DONE]\n\n").ok();
        stream.finish().ok();
    }

    fn reject(&self, _rejection: Rejection, writer: ResponseWriter) {
        writer.send(400, &[], b"").ok();
    }
}

fn event(index: u64, text: &str) -> String {
    let json = serde_json::json!({"choices": [{"index": 0, "delta": {"content": text}}]});
    format!("id: {index}\ndata: {json}\n\n")
}

/// Starts a site whose only engine has the fault.
fn site_with(fault: Fault) -> (Site, Server, Arc<AtomicU64>) {
    let site = Site::start(1, 0, 4, Duration::from_millis(2));
    let attempts: Arc<AtomicU64> = Arc::default();
    let engine = FaultyEngine {
        fault,
        attempts: Arc::clone(&attempts),
        seen_ids: Mutex::default(),
    };
    let server = Server::bind(support::ephemeral_address(), Limits::default(), engine)
        .expect("a port is free");
    let declared = format!(
        "[engine.faulty]\nmodel = assistant\ndomain = couva\naddress = {}\nslots = 200\n",
        server.address()
    );
    let version = site.apply(&site.declarations(&declared));
    wait_until("the engine is declared", || {
        site.routers[0].config_version() == version
    });
    (site, server, attempts)
}

#[test]
fn a_faulty_stream_is_resumed_to_a_complete_response() {
    for fault in [
        Fault::Disconnects,
        Fault::EndsEarly,
        Fault::RepeatsEvent,
        Fault::SkipsEvent,
        Fault::Stalls,
        Fault::WrongRequestId,
        Fault::MalformedEvent,
    ] {
        let (site, _server, attempts) = site_with(fault);
        let response =
            chat(site.routers[0].caller_address, "faulty", TOKENS).expect("the router responds");
        assert!(is_correct(response, "faulty", TOKENS), "{fault:?}");
        let expected = if fault == Fault::RepeatsEvent { 1 } else { 2 };
        assert_eq!(attempts.load(Ordering::Relaxed), expected, "{fault:?}");
    }
}

#[test]
fn a_stream_that_cannot_be_completed_ends_with_an_error_event() {
    let (site, _server, _attempts) = site_with(Fault::AlwaysDisconnects);
    let response =
        chat(site.routers[0].caller_address, "broken", TOKENS).expect("the router responds");
    let (_, _, reader) = response.split();
    let lines: Vec<String> = std::io::BufRead::lines(std::io::BufReader::new(reader))
        .map_while(Result::ok)
        .collect();
    let text = lines.join("\n");
    assert!(!text.contains("[DONE]"), "{text}");
    assert!(
        text.contains("event: error") && text.contains("answer_lost"),
        "{text}"
    );
    let received = lines
        .iter()
        .filter(|line| line.contains("\"content\""))
        .count();
    let generator = Generator::new(&prompt_with_length("broken", TOKENS));
    assert!(received > 0 && (received as u64) < generator.tokens());
}

/// Every stream breaks once, as when a failure domain fails, and all are resumed.
#[test]
fn all_streams_are_resumed_after_breaking_at_once() {
    let (site, _server, _attempts) = site_with(Fault::DisconnectsOncePerRequest);
    let address = site.routers[0].caller_address;
    let callers: Vec<_> = (0..120)
        .map(|number| {
            thread::spawn(move || {
                let name = format!("caller {number}");
                let response = chat(address, &name, TOKENS).expect("the router responds");
                is_correct(response, &name, TOKENS)
            })
        })
        .collect();
    let correct = callers
        .into_iter()
        .map(|caller| caller.join().expect("no thread panics"))
        .filter(|is_correct| *is_correct)
        .count();
    assert_eq!(correct, 120);
}
