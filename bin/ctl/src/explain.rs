//! `baobabctl explain`: the history of a request, from the logs of all routers.

use {
    crate::{args::ExplainArgs, cli::CommandResult},
    serde_json::{Map, Value},
    std::{fs, path::Path},
};

/// A log line of the request.
#[derive(Debug)]
struct Line {
    time: String,
    /// Text before the JSON, such as a host name.
    origin: String,
    message: String,
    fields: Map<String, Value>,
}

/// Prints the log lines of a request sorted by time, then the cause of its end.
pub fn print(args: &ExplainArgs) -> CommandResult {
    let mut lines = Vec::new();
    for file in &args.files {
        lines.extend(read(file, &args.id)?);
    }
    if lines.is_empty() {
        return Err(format!("no log line has the request id {}", args.id).into());
    }
    lines.sort_by(|left, right| left.time.cmp(&right.time));
    for line in &lines {
        println!(
            "{} {} {}{}",
            line.time,
            line.origin,
            line.message,
            format_fields(&line.fields)
        );
    }
    println!("cause: {}", cause(&lines));
    Ok(())
}

fn read(file: &Path, id: &str) -> Result<Vec<Line>, String> {
    let text = fs::read_to_string(file)
        .map_err(|error| format!("cannot read {}: {error}", file.display()))?;
    Ok(text.lines().filter_map(|line| parse(line, id)).collect())
}

fn parse(line: &str, id: &str) -> Option<Line> {
    let start = line.find('{')?;
    let record: Value = serde_json::from_str(&line[start..]).ok()?;
    let fields = record["kvs"].as_object()?.clone();
    if fields.get("id")?.as_str()? != id {
        return None;
    }
    Some(Line {
        time: record["timestamp"].as_str()?.to_owned(),
        origin: line[..start].trim().to_owned(),
        message: record["message"].as_str()?.to_owned(),
        fields,
    })
}

fn format_fields(fields: &Map<String, Value>) -> String {
    let texts: Vec<String> = fields
        .iter()
        .filter(|(key, _)| *key != "id")
        .map(|(key, value)| format!(" {key}={}", plain(value)))
        .collect();
    texts.concat()
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// Describes why the request ended as it did, by its last log line.
fn cause(lines: &[Line]) -> String {
    let Some(last) = lines.last() else {
        return "unknown".to_owned();
    };
    let field = |name: &str| last.fields.get(name).map(plain).unwrap_or_default();
    match last.message.as_str() {
        "request is refused" => refusal(&field("reason"), lines),
        "stream is complete" => format!(
            "answered; the first event came after {} ms of {} ms, the longest pause was {} ms",
            field("first_ms"),
            field("objective_ms"),
            field("longest_pause_ms")
        ),
        "answer is complete" => format!(
            "answered with {} after {} ms",
            field("status"),
            field("total_ms")
        ),
        "stream breaks off" => format!(
            "the stream broke off and was not resumed: {}",
            field("reason")
        ),
        "stream breaks off at its timeout" => "its route's timeout ended the stream".to_owned(),
        "caller has left" => "the caller left before its response was complete".to_owned(),
        "request is sent" => {
            "it was sent and no log line records its end: the router ended".to_owned()
        }
        other => other.to_owned(),
    }
}

fn refusal(reason: &str, lines: &[Line]) -> String {
    let congestion = lines
        .iter()
        .rev()
        .find(|line| line.message == "no engine would answer on time");
    let engines = congestion.map(|line| {
        let field = |name: &str| line.fields.get(name).map(plain).unwrap_or_default();
        format!(
            ": {} engines late, {} full, {} out of memory, the shortest queue {} ms of {} ms",
            field("late"),
            field("full"),
            field("out_of_memory"),
            field("least_queue_ms"),
            field("objective_ms")
        )
    });
    let engines = engines.unwrap_or_default();
    match reason {
        "busy" => format!("not run: no engine would have answered on time{engines}"),
        "over_share" => {
            format!("not run: its workspace had used its share and no capacity was left{engines}")
        }
        "configuration_unconfirmed" => {
            "not run: the store confirmed the configuration longer ago than keys may be accepted"
                .to_owned()
        }
        "no_configuration" => "not run: the router had no configuration yet".to_owned(),
        "no_route" => "not run: no route matches its host and path".to_owned(),
        "unknown_key" => "not run: its key is in no workspace".to_owned(),
        "servers_backing_off" => {
            "not run: all servers of its service had asked for no requests".to_owned()
        }
        "prompt_quarantined" => {
            "not run: a part of its prompt crashes engines and is quarantined".to_owned()
        }
        "stream_origin_unknown" => {
            "not run: it is not known which software version began the stream".to_owned()
        }
        "stream_version_gone" => {
            "not run: no server is of the software version that began the stream".to_owned()
        }
        "stream_version_unverified" => {
            "not run: the servers of the stream's software version may have started again as another"
                .to_owned()
        }
        "no_server" => "not run: its service had no server".to_owned(),
        "servers_refused" => "not run: the servers that were tried refused it".to_owned(),
        "servers_unreachable" => "not run: no server could be reached".to_owned(),
        "router_overloaded" => "not run: the router's processor did not keep up".to_owned(),
        "stopping" => "not run: the router was about to stop".to_owned(),
        "server_failed" => {
            "it may have run: a server failed or broke off and it must not be retried".to_owned()
        }
        "timeout" => "it may have run: it timed out at the server".to_owned(),
        "timeout_unsent" => "not run: it timed out before it was sent".to_owned(),
        other => format!("refused: {other}"),
    }
}
