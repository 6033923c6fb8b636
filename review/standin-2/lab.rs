//! Stand-ins for the platform's store, servers and clients, and the router process. Standard library only.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, exit},
    sync::{
        Arc, Condvar, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---------------------------------------------------------------- record

static STARTED: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Opens `record.txt` in the folder that `CASE_DIR` names.
pub fn open_record() {
    STARTED.get_or_init(Instant::now);
    let folder = std::env::var("CASE_DIR").unwrap_or_else(|_| ".".to_owned());
    let path = Path::new(&folder).join("record.txt");
    let file =
        File::create(&path).unwrap_or_else(|error| cannot_run(&format!("record.txt: {error}")));
    let _ = RECORD.set(Mutex::new(file));
}

/// Writes one line to the record, with the seconds since the start.
pub fn record(line: impl AsRef<str>) {
    let seconds = STARTED.get_or_init(Instant::now).elapsed().as_secs_f64();
    let line = format!("{seconds:9.3}  {}", line.as_ref());
    println!("{line}");
    if let Some(file) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{line}");
    }
}

/// Whether the disruption is to be played: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Time after which a case is given up.
const MAX_RUN_TIME: Duration = Duration::from_secs(110);

/// Ids of the processes that were started and not ended yet.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends with status 2: the case could not be run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("cannot run: {reason}");
    for id in PROCESSES.lock().unwrap().iter() {
        let _ = Command::new("kill")
            .args(["-s", "KILL", &id.to_string()])
            .status();
    }
    exit(2)
}

/// Ends the case with status 2 if a thread panics, or if it takes too long.
pub fn guard() {
    std::panic::set_hook(Box::new(|info| cannot_run(&info.to_string())));
    thread::spawn(|| {
        sleep(MAX_RUN_TIME);
        cannot_run("it takes too long");
    });
}

// ---------------------------------------------------------------- JSON and base64, as far as the store needs them

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        parse_value(&bytes, &mut at)
    }
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn skip_space(text: &[char], at: &mut usize) {
    while text.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn parse_value(text: &[char], at: &mut usize) -> Option<Json> {
    skip_space(text, at);
    match *text.get(*at)? {
        '{' => {
            let mut map = BTreeMap::new();
            *at += 1;
            loop {
                skip_space(text, at);
                match *text.get(*at)? {
                    '}' => break,
                    ',' => *at += 1,
                    _ => {
                        let Json::Text(key) = parse_value(text, at)? else {
                            return None;
                        };
                        skip_space(text, at);
                        *at += 1;
                        map.insert(key, parse_value(text, at)?);
                    }
                }
            }
            *at += 1;
            Some(Json::Map(map))
        }
        '[' => {
            let mut list = Vec::new();
            *at += 1;
            loop {
                skip_space(text, at);
                match *text.get(*at)? {
                    ']' => break,
                    ',' => *at += 1,
                    _ => list.push(parse_value(text, at)?),
                }
            }
            *at += 1;
            Some(Json::List(list))
        }
        '"' => {
            let mut string = String::new();
            *at += 1;
            while *text.get(*at)? != '"' {
                if text[*at] == '\\' {
                    *at += 1;
                    match *text.get(*at)? {
                        'n' => string.push('\n'),
                        't' => string.push('\t'),
                        'r' => string.push('\r'),
                        'u' => {
                            let digits: String = text.get(*at + 1..*at + 5)?.iter().collect();
                            string.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                            *at += 4;
                        }
                        other => string.push(other),
                    }
                } else {
                    string.push(text[*at]);
                }
                *at += 1;
            }
            *at += 1;
            Some(Json::Text(string))
        }
        _ => {
            let begin = *at;
            while text.get(*at).is_some_and(|c| !",]} \n\r\t".contains(*c)) {
                *at += 1;
            }
            let word: String = text[begin..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                word => word.parse().ok().map(Json::Number),
            }
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64_encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let value = chunk
            .iter()
            .fold(0u32, |value, byte| value << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(BASE64[(value >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn base64_decode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut value, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = BASE64.iter().position(|known| *known == byte) else {
            continue;
        };
        value = value << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((value >> bits) as u8);
            value &= (1 << bits) - 1;
        }
    }
    bytes
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }
    pub fn parameter(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map_or(String::new(), |(_, value)| percent_decode(value))
    }
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        if bytes[index] == b'%' && index + 2 < bytes.len() {
            let digits = std::str::from_utf8(&bytes[index + 1..index + 3]).unwrap_or("00");
            decoded.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
            index += 3;
        } else {
            decoded.push(bytes[index]);
            index += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0; 16 * 1024];
    let length = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..length]);
    Ok(length)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Reads a head; returns its first line and headers. None at the end of the connection.
fn read_head(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let end = loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            break end;
        }
        if read_more(stream, buffer)? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Ok(Some((first, headers)))
}

fn header_of(headers: &[(String, String)], name: &str) -> String {
    headers
        .iter()
        .find(|(known, _)| known == name)
        .map_or(String::new(), |(_, value)| value.clone())
}

/// Reads a body by its length or chunks. Fails if the connection ends before its end.
fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    headers: &[(String, String)],
    to_end: bool,
) -> io::Result<Vec<u8>> {
    let cut = || io::Error::from(io::ErrorKind::UnexpectedEof);
    if header_of(headers, "transfer-encoding")
        .to_ascii_lowercase()
        .ends_with("chunked")
    {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                if let Some(end) = find(buffer, b"\r\n") {
                    break end;
                }
                if read_more(stream, buffer)? == 0 {
                    return Err(cut());
                }
            };
            let size = usize::from_str_radix(
                String::from_utf8_lossy(&buffer[..line_end])
                    .split(';')
                    .next()
                    .unwrap_or("")
                    .trim(),
                16,
            )
            .map_err(|_| cut())?;
            while buffer.len() < line_end + 2 + size + 2 {
                if read_more(stream, buffer)? == 0 {
                    return Err(cut());
                }
            }
            body.extend_from_slice(&buffer[line_end + 2..line_end + 2 + size]);
            buffer.drain(..line_end + 2 + size + 2);
            if size == 0 {
                return Ok(body);
            }
        }
    }
    if let Ok(length) = header_of(headers, "content-length").parse::<usize>() {
        while buffer.len() < length {
            if read_more(stream, buffer)? == 0 {
                return Err(cut());
            }
        }
        return Ok(buffer.drain(..length).collect());
    }
    if to_end {
        while read_more(stream, buffer)? > 0 {}
        return Ok(std::mem::take(buffer));
    }
    Ok(Vec::new())
}

pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(stream, buffer)? else {
        return Ok(None);
    };
    let body = read_body(stream, buffer, &headers, false)?;
    let mut words = first.split(' ');
    Ok(Some(Request {
        method: words.next().unwrap_or("").to_owned(),
        target: words.next().unwrap_or("").to_owned(),
        headers,
        body,
    }))
}

/// An answer as a client sees it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Why the body is not complete.
    pub fault: Option<String>,
}

impl Answer {
    pub fn header(&self, name: &str) -> String {
        header_of(&self.headers, name)
    }
}

/// Reads one answer; status 0 if the channel ended without one.
pub fn read_answer(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Answer {
    let (first, headers) = match read_head(stream, buffer) {
        Ok(Some(head)) => head,
        Ok(None) => {
            return Answer {
                fault: Some("the channel was closed without an answer".into()),
                ..Answer::default()
            };
        }
        Err(error) => {
            return Answer {
                fault: Some(format!("no answer: {error}")),
                ..Answer::default()
            };
        }
    };
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok())
        .unwrap_or(0);
    match read_body(stream, buffer, &headers, true) {
        Ok(body) => Answer {
            status,
            headers,
            body,
            fault: None,
        },
        Err(error) => Answer {
            status,
            headers,
            body: std::mem::take(buffer),
            fault: Some(format!("the body is not complete: {error}")),
        },
    }
}

pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    Ok(stream)
}

/// Sends one request on a new channel and reads the answer.
pub fn ask(address: SocketAddr, request: &[u8]) -> Answer {
    let result = connect(address).and_then(|mut stream| stream.write_all(request).map(|()| stream));
    match result {
        Ok(mut stream) => read_answer(&mut stream, &mut Vec::new()),
        Err(error) => Answer {
            fault: Some(error.to_string()),
            ..Answer::default()
        },
    }
}

/// Calls `serve` for each channel to a new listener, each on a thread of its own.
pub fn listen(ip: &str, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener =
        TcpListener::bind((ip, 0)).unwrap_or_else(|error| cannot_run(&format!("{ip}: {error}")));
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                serve(stream);
            });
        }
    });
    address
}

// ---------------------------------------------------------------- store

type RowKey = (String, String);

#[derive(Default)]
struct Tables {
    revision: u64,
    rows: BTreeMap<RowKey, (Vec<u8>, u64)>,
    history: Vec<(u64, RowKey, Option<Vec<u8>>)>,
    era: u64,
    /// Oldest revision from which changes can be read.
    oldest: u64,
    is_away: bool,
}

/// The rows of a store at one moment.
pub struct StoreCopy {
    revision: u64,
    rows: BTreeMap<RowKey, (Vec<u8>, u64)>,
}

/// A stand-in for the platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    tables: Arc<(Mutex<Tables>, Condvar)>,
    started: Instant,
    is_cut: Arc<AtomicBool>,
}

impl Store {
    pub fn spawn() -> Self {
        Self::listen(Arc::default(), Instant::now())
    }

    /// Returns the same store at another address, from which its users can be cut off.
    pub fn spawn_link(&self) -> Self {
        Self::listen(Arc::clone(&self.tables), self.started)
    }

    fn listen(tables: Arc<(Mutex<Tables>, Condvar)>, started: Instant) -> Self {
        let is_cut: Arc<AtomicBool> = Arc::default();
        let (served, cut) = (Arc::clone(&tables), Arc::clone(&is_cut));
        let address = listen("127.0.0.1", move |stream| {
            serve_store(&served, &cut, stream, started);
        });
        Self {
            address,
            tables,
            started,
            is_cut,
        }
    }

    /// Cuts the users of this address off, or ends that. Their channels are closed, and new ones at once.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
        self.tables.1.notify_all();
    }

    pub fn put(&self, table: &str, key: &str, content: &str) {
        let mut tables = self.tables.0.lock().unwrap();
        tables.revision += 1;
        tables.write(
            (table.to_owned(), key.to_owned()),
            Some(content.as_bytes().to_vec()),
        );
        self.tables.1.notify_all();
    }

    /// Returns a copy of all rows.
    pub fn copy(&self) -> StoreCopy {
        let tables = self.tables.0.lock().unwrap();
        StoreCopy {
            revision: tables.revision,
            rows: tables.rows.clone(),
        }
    }

    /// Closes all channels, those that wait too, and answers nothing until it returns.
    pub fn go_away(&self) {
        self.tables.0.lock().unwrap().is_away = true;
        self.tables.1.notify_all();
    }

    /// Comes back from a copy: what was written since is gone, and a new era begins.
    pub fn return_from(&self, copy: &StoreCopy) {
        let mut tables = self.tables.0.lock().unwrap();
        tables.is_away = false;
        tables.era += 1;
        tables.revision = copy.revision;
        tables.oldest = copy.revision;
        tables.rows = copy.rows.clone();
        tables.history.clear();
        self.tables.1.notify_all();
    }
}

impl Tables {
    fn write(&mut self, key: RowKey, content: Option<Vec<u8>>) {
        let revision = self.revision;
        match &content {
            Some(content) => {
                self.rows.insert(key.clone(), (content.clone(), revision));
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.history.push((revision, key, content));
    }
}

fn row_text(key: &RowKey, content: Option<&[u8]>, revision: u64) -> String {
    let rest = match content {
        Some(content) => format!("\"Data\":\"{}\"", base64_encode(content)),
        None => "\"Deleted\":true".to_owned(),
    };
    format!(
        "{{\"TableName\":{:?},\"part\":\"\",\"Key\":{:?},\"RowVersion\":{revision},{rest}}}",
        key.0, key.1
    )
}

fn serve_store(
    tables: &(Mutex<Tables>, Condvar),
    is_cut: &AtomicBool,
    mut stream: TcpStream,
    started: Instant,
) {
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
        let era = tables.0.lock().unwrap().era;
        if is_cut.load(Ordering::Relaxed) {
            return;
        }
        let (status, body) = handle_store(tables, is_cut, &request, started);
        {
            let tables = tables.0.lock().unwrap();
            if tables.is_away || tables.era != era || is_cut.load(Ordering::Relaxed) {
                return;
            }
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn handle_store(
    shared: &(Mutex<Tables>, Condvar),
    is_cut: &AtomicBool,
    request: &Request,
    started: Instant,
) -> (u16, String) {
    let table = request.parameter("TableName");
    let mut tables = shared.0.lock().unwrap();
    if tables.is_away {
        return (503, "{}".into());
    }
    let era = tables.era;
    let end = |tables: &Tables| {
        format!(
            "\"RowVersion\":{},\"NowMs\":{}",
            tables.revision,
            started.elapsed().as_millis()
        )
    };
    match request.path() {
        "/rows-get" => {
            let from = request.parameter("Source");
            let most = request.parameter("MaxItems").parse().unwrap_or(500usize);
            let found: Vec<String> = tables
                .rows
                .iter()
                .filter(|((of, key), _)| *of == table && *key >= from)
                .map(|(key, (content, revision))| row_text(key, Some(content), *revision))
                .collect();
            let has_more = found.len() > most;
            let rows = found[..found.len().min(most)].join(",");
            (
                200,
                format!(
                    "{{\"Rows\":[{rows}],\"HasMore\":{has_more},{}}}",
                    end(&tables)
                ),
            )
        }
        "/rows-feed" => {
            let since: u64 = request.parameter("SinceRevision").parse().unwrap_or(0);
            let wait = request.parameter("WaitMs").parse().unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait);
            loop {
                if tables.is_away || tables.era != era || is_cut.load(Ordering::Relaxed) {
                    return (503, "{}".into());
                }
                if since < tables.oldest || since > tables.revision {
                    return (410, "{}".into());
                }
                let rows: Vec<String> = tables
                    .history
                    .iter()
                    .filter(|(revision, (of, _), _)| *revision > since && *of == table)
                    .map(|(revision, key, content)| row_text(key, content.as_deref(), *revision))
                    .collect();
                let left = until.saturating_duration_since(Instant::now());
                if !rows.is_empty() || left.is_zero() {
                    return (
                        200,
                        format!("{{\"Rows\":[{}],{}}}", rows.join(","), end(&tables)),
                    );
                }
                tables = shared.1.wait_timeout(tables, left).unwrap().0;
            }
        }
        "/rows-tx" => {
            let Some(call) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
                return (400, "{}".into());
            };
            let key_of = |row: &Json| {
                (
                    row.get("TableName").text().to_owned(),
                    row.get("Key").text().to_owned(),
                )
            };
            for row in call.get("ExpectedRevision").list() {
                let known = tables
                    .rows
                    .get(&key_of(row))
                    .map_or(0, |(_, revision)| *revision);
                if known != row.get("RowVersion").number() as u64 {
                    return (412, format!("{{\"Rows\":[],{}}}", end(&tables)));
                }
            }
            tables.revision += 1;
            for row in call.get("Write").list() {
                let content = base64_decode(row.get("Data").text());
                tables.write(key_of(row), Some(content));
            }
            for row in call.get("Remove").list() {
                tables.write(key_of(row), None);
            }
            shared.1.notify_all();
            (200, format!("{{{}}}", end(&tables)))
        }
        _ => (404, "{}".into()),
    }
}

// ---------------------------------------------------------------- servers

/// A stand-in for a server of one service.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub born: u128,
    /// Version of its software.
    pub version: String,
}

impl Server {
    /// Starts a server that lets `answer` respond to each request; that returns whether the channel stays open.
    pub fn spawn(
        id: &str,
        answer: impl Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let own_id = id.to_owned();
        let address = listen("127.0.0.1", move |mut stream| {
            let mut buffer = Vec::new();
            while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
                let goes_on = match request.path() {
                    "/report" => {
                        let body =
                            format!("{{\"Phase\":\"unified\",\"born\":{born},\"Sequence\":1}}");
                        let head = format!(
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                            body.len()
                        );
                        stream.write_all((head + &body).as_bytes()).is_ok()
                    }
                    "/healthz" => {
                        let head = format!(
                            "HTTP/1.1 200 OK\r\nInstance-Id: {own_id}\r\nContent-Length: 0\r\n\r\n"
                        );
                        stream.write_all(head.as_bytes()).is_ok()
                    }
                    _ => answer(&request, &mut stream),
                };
                if !goes_on {
                    return;
                }
            }
        });
        Self {
            id: id.to_owned(),
            address,
            born,
            version: "v1".to_owned(),
        }
    }

    /// Writes the server's announcement.
    pub fn announce(&self, store: &Store, service: &str) {
        let content = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{}\",\"Zone\":\"chaguanas\",\"Version\":\"{}\",\"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":{}}}",
            self.address, self.version, self.born
        );
        store.put("servers", &self.id, &content);
    }
}

/// Returns a whole answer with the id and proof of the request.
pub fn answer_text(status: u16, request: &Request, extra_headers: &str, body: &[u8]) -> Vec<u8> {
    let id = request.header("attempt-id");
    let head = format!(
        "HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\nResponse-Seal: seal.{id}\r\n{extra_headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut text = head.into_bytes();
    text.extend_from_slice(body);
    text
}

// ---------------------------------------------------------------- router

/// Whether a router answers 200 to `/readyz`.
pub fn is_ready(health: SocketAddr) -> bool {
    ask(
        health,
        b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
    )
    .status
        == 200
}

/// A router process, started as the deploy file says.
pub struct Router {
    pub callers: SocketAddr,
    pub health: SocketAddr,
    child: Child,
    folder: PathBuf,
}

fn start_process(folder: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder.join("log.txt"))
        .unwrap();
    // As in the deploy file.
    let program = "target/release/baobab-gateway";
    Command::new(program)
        .env("BAOBABLUG_BOOT", folder.join("local.json"))
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .inspect(|child| PROCESSES.lock().unwrap().push(child.id()))
        .unwrap_or_else(|error| cannot_run(&format!("{program}: {error}")))
}

/// Settings that differ between cases.
pub struct RouterOptions {
    pub number: u8,
    pub grace_s: u64,
}

fn free_port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0))
        .and_then(|listener| listener.local_addr())
        .unwrap_or_else(|error| cannot_run(&format!("{ip}: {error}")))
        .port()
}

impl Router {
    pub fn spawn(store: &Store, options: &RouterOptions) -> Self {
        let process = std::process::id();
        // Each router has an address of its own: the metrics' port is fixed.
        let ip = format!(
            "127.{}.{}.{}",
            64 + process % 128,
            process / 128 % 250,
            options.number + 1
        );
        let folder =
            std::env::temp_dir().join(format!("baobab-review-{process}-{}", options.number));
        fs::create_dir_all(&folder).unwrap();
        let (frontend, ready, control) = (free_port(&ip), free_port(&ip), free_port(&ip));
        let peers = free_port(&ip);
        let settings = format!(
            r#"{{"NodeName":"edge-chaguanas-{number}","Role":"router","MachineClass":"edge","Serves":["edge"],"Ip":"{ip}","Zone":"chaguanas","Region":"tt-central","Zones":{{"chaguanas":"tt-central"}},
"ListenersCfg":{{"Frontend":"{ip}:{frontend}","Ready":"{ip}:{ready}","ControlPlane":"{ip}:{control}"}},"PortRange":[{peers},{peers}],"SeedNodes":[],"Bootstrap":true,"LossCounts":false,
"Limits":{{"CpuQuota":0.25,"CpuCores":1,"MemoryMb":260,"MaxFds":4200,"LinkMbps":1000.0,"DiskMb":0}},"DataDir":null,"Discovery":"platform","EntryType":"anycast","HeartbeatMs":1200,
"Contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],"FaultTolerance":{{"Machines":2,"Zones":0,"Regions":0}},
"Bounds":{{"SeedLagS":3,"AddrReuseS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,"GraceS":{grace},"LossSlackMs":200,"ConfigApplyMs":2000,"DowngradeSlackMs":250,"MaxSkewMs":5000,"StrictRevoke":true,"RevokeMs":5000,"RetryRatio":0.2,"RetryWindowS":10,"RetryAllowance":52,"RecoveryS":12,"PassMs":120,"RetryAfterS":10,"QuotaWindowS":4}},
"Platform":{{"Address":"{store}","form":"table","WritesPerS":400,"ReadsPerS":2000,"TransactionMs":5.0,"PartOpsS":200,"RowBytes":65536,"CrossPartition":false,"RetentionS":20,"BlobBytes":8388608,"BlobMs":25.0,"BlobMbS":80.0}}}}"#,
            number = options.number,
            grace = options.grace_s,
            store = store.address
        );
        let path = folder.join("local.json");
        fs::write(&path, settings).unwrap();
        let child = start_process(&folder);
        let address = |port: u16| SocketAddr::new(ip.parse().unwrap(), port);
        Self {
            callers: address(frontend),
            health: address(ready),
            child,
            folder,
        }
    }

    pub fn is_ready(&self) -> bool {
        is_ready(self.health)
    }

    pub fn wait_until_ready(&self) {
        let deadline = Instant::now() + Duration::from_secs(20);
        while !self.is_ready() {
            if Instant::now() > deadline {
                cannot_run("the router does not become ready");
            }
            sleep(Duration::from_millis(50));
        }
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let ended = self.child.id();
        PROCESSES.lock().unwrap().retain(|id| *id != ended);
    }

    /// Starts the process again, with the same settings.
    pub fn restart(&mut self) {
        self.child = start_process(&self.folder);
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }

    /// Ends the process and removes its folder.
    pub fn end(mut self) {
        self.kill();
        if std::env::var("KEEP_LOG").is_ok() {
            println!("{}", self.log());
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns a configuration with one route of a kind for each `(path, route type, extra fields)`, all to `desk`.
pub fn configuration(version: u64, routes: &[(&str, &str, &str)]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(index, (path, kind, extra))| {
            format!(
                r#"{{"Name":"r-{index}","Host":"desk.example","PathPrefix":"{path}","RouteType":"{kind}","TimeoutMs":15000,"TargetLatencyMs":120,"Priority":2,"Service":"desk","Anonymous":false{extra}}}"#
            )
        })
        .collect();
    format!(
        r#"{{"Version":{version},"Routes":[{}],"Services":[{{"Name":"desk","HealthPath":"/healthz","MaxConnections":96,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000,"TokensPerS":480000}},"Tenants":[{{"Name":"hule930","ApiKeys":["asnmgkcuyj8pjbvk9m68"],"Priority":1}}]}}"#,
        routes.join(",")
    )
}

// ---------------------------------------------------------------- servers that crash

/// A server whose process ends when it begins to answer some requests, and starts again under its id.
pub struct CrashingServer;

struct CrashState {
    id: String,
    address: Mutex<Option<SocketAddr>>,
    born: Mutex<u128>,
    /// Channels of the present run.
    channels: Mutex<Vec<TcpStream>>,
    is_down: Mutex<bool>,
    down_time: Duration,
}

impl CrashingServer {
    /// Starts a server that `is_deadly` requests crash, for `down_time`. It tells `on_arrival` of each request, and
    /// announces each of its runs.
    pub fn spawn(
        id: &str,
        store: &Store,
        service: &str,
        down_time: Duration,
        is_deadly: impl Fn(&Request) -> bool + Send + Sync + 'static,
        on_arrival: impl Fn(&Request) + Send + Sync + 'static,
    ) -> Self {
        let state = Arc::new(CrashState {
            id: id.to_owned(),
            address: Mutex::default(),
            born: Mutex::default(),
            channels: Mutex::default(),
            is_down: Mutex::new(false),
            down_time,
        });
        let handlers = Arc::new((is_deadly, on_arrival));
        let (store, service, shared) = (store.clone(), service.to_owned(), state);
        let (started, is_started) = std::sync::mpsc::channel();
        thread::spawn(move || {
            loop {
                let wanted = shared
                    .address
                    .lock()
                    .unwrap()
                    .unwrap_or_else(|| "127.0.0.1:0".parse().unwrap());
                let listener = TcpListener::bind(wanted)
                    .unwrap_or_else(|error| cannot_run(&format!("{wanted}: {error}")));
                listener.set_nonblocking(true).unwrap();
                let address = listener.local_addr().unwrap();
                *shared.address.lock().unwrap() = Some(address);
                *shared.born.lock().unwrap() = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap()
                    .as_millis();
                *shared.is_down.lock().unwrap() = false;
                let announced = Server {
                    id: shared.id.clone(),
                    address,
                    born: *shared.born.lock().unwrap(),
                    version: "v1".to_owned(),
                };
                announced.announce(&store, &service);
                let _ = started.send(());
                while !*shared.is_down.lock().unwrap() {
                    let Ok((stream, _)) = listener.accept() else {
                        sleep(Duration::from_millis(1));
                        continue;
                    };
                    stream.set_nonblocking(false).unwrap();
                    let _ = stream.set_nodelay(true);
                    shared
                        .channels
                        .lock()
                        .unwrap()
                        .push(stream.try_clone().unwrap());
                    let (shared, handlers) = (Arc::clone(&shared), Arc::clone(&handlers));
                    thread::spawn(move || {
                        serve_until_crash(&shared, stream, &handlers.0, &handlers.1)
                    });
                }
                drop(listener);
                for channel in shared.channels.lock().unwrap().drain(..) {
                    let _ = channel.shutdown(std::net::Shutdown::Both);
                }
                sleep(shared.down_time);
            }
        });
        let _ = is_started.recv();
        Self
    }
}

fn serve_until_crash(
    state: &CrashState,
    mut stream: TcpStream,
    is_deadly: &impl Fn(&Request) -> bool,
    on_arrival: &impl Fn(&Request),
) {
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
        if request.path() == "/report" {
            let body = format!("{{\"born\":{}}}", state.born.lock().unwrap());
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let _ = stream.write_all((head + &body).as_bytes());
            continue;
        }
        {
            let mut is_down = state.is_down.lock().unwrap();
            if *is_down {
                return;
            }
            on_arrival(&request);
            *is_down = is_deadly(&request);
            if *is_down {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
        let id = request.header("attempt-id").to_owned();
        let event = "id: 1\ndata: done\n\n";
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: seal.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n0\r\n\r\n",
            event.len()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
