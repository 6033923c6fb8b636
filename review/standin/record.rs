//! What a case has sent, got and seen.

use std::{
    fs,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    started: Instant,
    lines: Mutex<Vec<(Instant, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Mutex::new(Vec::new()),
        }
    }

    pub fn add(&self, text: impl Into<String>) {
        self.add_at(Instant::now(), text);
    }

    pub fn add_at(&self, at: Instant, text: impl Into<String>) {
        let mut lines = self.lines.lock().expect("no panic while locked");
        lines.push((at, text.into()));
    }

    /// Also prints the line.
    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:8.3} s  {text}", self.started.elapsed().as_secs_f64());
        self.add(text);
    }

    pub fn since_start(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.started)
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().expect("no panic while locked");
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, text)| format!("{:8.3} s  {text}\n", self.since_start(*at).as_secs_f64()))
            .collect();
        if let Err(error) = fs::write(path, text) {
            eprintln!("cannot write {path}: {error}");
        }
    }
}
