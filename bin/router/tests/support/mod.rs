//! Runs router processes with stand-ins for the platform, the engines and a service.

#![allow(dead_code)]

use {
    attohttpc::{Method, RequestBuilder, Response},
    baobab_conf::declarations::apply_declarations,
    baobab_standin::{
        engine::{EngineConf, EngineServer},
        platform::PlatformServer,
        service::ServiceServer,
        text::{Generator, prompt_with_length},
    },
    baobab_store::{HostEntry, HostState},
    rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit},
    std::{
        fmt::Write,
        fs::File,
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicU32, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

pub const KEY: &str = "key-north";
/// Default maximum wait for a condition.
const MAX_WAIT: Duration = Duration::from_mins(1);
/// Lines of a router's log that are printed if a test fails.
const MAX_PRINTED_LINES: usize = 200;
const FLEET_KEY: &str = "5f1d0c2b7a9e4836d1c05b7f92e3a8640b9c7d15e2f84a3690cd17be5a42f3d8";

/// First port of the first site.
const FIRST_PORT: u16 = 15_000;
/// Number of ports reserved for each site.
const PORTS_PER_SITE: u16 = 20;

static NEXT_SITE: AtomicU32 = AtomicU32::new(0);

/// A router process, which is killed on drop.
pub struct RouterProcess {
    pub host: String,
    pub caller_address: SocketAddr,
    pub admin_address: SocketAddr,
    pub peer_address: SocketAddr,
    conf: PathBuf,
    child: Option<Child>,
}

impl RouterProcess {
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path());
        let child = Command::new(env!("CARGO_BIN_EXE_baobab-router"))
            .args(["--conf".as_ref(), self.conf.as_os_str()])
            .stderr(Stdio::null())
            .stdout(log.expect("the directory is writable"))
            .spawn()
            .expect("the router starts");
        self.child = Some(child);
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(self.pid(), signal).expect("the process is this test's child");
    }

    /// Sets a limit on the process's resources.
    pub fn set_limit(&self, resource: Resource, limit: Rlimit) {
        prlimit(Some(self.pid()), resource, limit).expect("the process is this test's child");
    }

    fn log_path(&self) -> PathBuf {
        self.conf.with_extension("log")
    }

    /// Prints what shows why a test has failed.
    fn print_end(&mut self) {
        let exit = self.child.as_mut().map(Child::try_wait);
        let log = std::fs::read_to_string(self.log_path()).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let end = &lines[lines.len().saturating_sub(MAX_PRINTED_LINES)..];
        println!("{}: {exit:?}\n{}", self.host, end.join("\n"));
    }

    fn pid(&self) -> Pid {
        let child = self.child.as_ref().expect("the router runs");
        let id = i32::try_from(child.id()).expect("ids are small");
        Pid::from_raw(id).expect("ids are positive")
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Waits until the process exits. Returns whether it exited with success.
    pub fn wait_for_exit(&mut self) -> bool {
        let mut child = self.child.take().expect("the router runs");
        child
            .wait()
            .expect("the process is this test's child")
            .success()
    }

    pub fn status(&self) -> Option<serde_json::Value> {
        let response = attohttpc::get(format!("http://{}/status", self.admin_address))
            .connect_timeout(Duration::from_secs(1))
            .read_timeout(Duration::from_secs(1))
            .send()
            .ok()?;
        response.json().ok()
    }

    pub fn config_version(&self) -> u64 {
        self.status()
            .and_then(|status| status["config_version"].as_u64())
            .unwrap_or(0)
    }

    pub fn metric(&self, name: &str) -> u64 {
        let text = attohttpc::get(format!("http://{}/metrics", self.admin_address))
            .send()
            .and_then(Response::text)
            .unwrap_or_default();
        text.lines()
            .find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
            .unwrap_or(0)
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A platform, engines and a service in the test's process, and router processes that use them.
pub struct Site {
    pub platform: PlatformServer,
    pub engines: Vec<EngineServer>,
    pub service: ServiceServer,
    pub routers: Vec<RouterProcess>,
    directory: PathBuf,
    base_port: u16,
}

impl Site {
    /// Starts everything and waits until the routers are ready. Each engine has `slots` slots and
    /// takes `step` per token.
    pub fn start(routers: usize, engines: usize, slots: u32, step: Duration) -> Self {
        let number = NEXT_SITE.fetch_add(1, Ordering::Relaxed);
        let name = format!("baobab-site-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("the directory is writable");
        let platform = PlatformServer::spawn(ephemeral_address()).expect("a port is free");
        let engines = (0..engines)
            .map(|index| {
                EngineServer::spawn(engine_conf(index, slots, step)).expect("a port is free")
            })
            .collect();
        let service = ServiceServer::spawn(ephemeral_address(), Duration::from_millis(20))
            .expect("a port is free");
        let mut site = Self {
            platform,
            engines,
            service,
            routers: Vec::new(),
            directory,
            base_port: FIRST_PORT
                + u16::try_from(number).expect("the number of sites is small") * PORTS_PER_SITE,
        };
        site.add_routers(routers);
        site.apply(&site.declarations(""));
        for router in &mut site.routers {
            router.start();
        }
        site.wait_ready();
        site
    }

    /// Returns the declarations of the site, followed by `extra`.
    pub fn declarations(&self, extra: &str) -> String {
        let digest = blake3::hash(KEY.as_bytes()).to_hex();
        let mut text = format!(
            "[model.assistant]\n[class.question]\nrank = 0\n[class.history]\nrank = 2\n\
             [service.desk]\naddresses = {}\nnon_idempotent = /orders\n\
             [workspace.north]\nweight = 1\nkey_digests = {digest}\nmodels = assistant\n\
             services = desk\n[workspace.locked]\nkey_digests = {}\n",
            self.service.address(),
            blake3::hash(b"key-locked").to_hex(),
        );
        for (index, engine) in self.engines.iter().enumerate() {
            let slots = engine.batch().stats().slots;
            writeln!(
                text,
                "[engine.e{index}]\nmodel = assistant\ndomain = couva\naddress = {}\nslots = {slots}",
                engine.address(),
            )
            .expect("writing to a string succeeds");
        }
        text.push_str(extra);
        text
    }

    pub fn apply(&self, text: &str) -> u64 {
        apply_declarations(self.platform.state().as_ref(), text, "test", None)
            .expect("there is no concurrent change")
    }

    pub fn wait_ready(&self) {
        for router in &self.routers {
            wait_until("a router is ready", || {
                attohttpc::get(format!("http://{}/ready", router.caller_address))
                    .send()
                    .is_ok_and(|response| response.is_success())
            });
        }
    }

    pub fn set_leaving_hosts(&self, names: &[&str]) {
        let hosts = names
            .iter()
            .map(|name| HostEntry {
                name: (*name).to_owned(),
                state: HostState::Leaving,
            })
            .collect();
        self.platform.state().set_hosts(hosts);
    }

    fn add_routers(&mut self, count: usize) {
        for index in 0..count {
            let host = format!("r{index}");
            self.routers.push(RouterProcess {
                conf: self.directory.join(format!("{host}.ini")),
                host,
                caller_address: self.address(index, 0),
                admin_address: self.address(index, 1),
                peer_address: self.address(index, 2),
                child: None,
            });
        }
        for router in &self.routers {
            let text = self.settings(router);
            std::fs::write(&router.conf, text).expect("the file is writable");
        }
    }

    /// Returns an address with a port below the ephemeral range of outgoing connections.
    fn address(&self, router: usize, offset: usize) -> SocketAddr {
        let offset = u16::try_from(router * 3 + offset).expect("the number of routers is small");
        SocketAddr::from(([127, 0, 0, 1], self.base_port + offset))
    }

    fn settings(&self, router: &RouterProcess) -> String {
        let mut text = format!(
            "[router]\nhost = {}\ndomain = couva\ncaller_address = {}\nadmin_address = {}\n\
             peer_address = {}\nfleet_key = {FLEET_KEY}\ndrain_notice = 1s\n\
             body_bytes = 10000\nhead_timeout = 300ms\nbody_timeout = 300ms\n\
             [platform]\naddress = {}\ntimeout = 1500ms\nhead_poll = 200ms\n",
            router.host,
            router.caller_address,
            router.admin_address,
            router.peer_address,
            self.platform.address(),
        );
        for peer in self.routers.iter().filter(|peer| peer.host != router.host) {
            writeln!(
                text,
                "[peer.{}]\ndomain = couva\naddress = {}",
                peer.host, peer.peer_address
            )
            .expect("writing to a string succeeds");
        }
        text
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if thread::panicking() {
            self.routers.iter_mut().for_each(RouterProcess::print_end);
        }
        std::fs::remove_dir_all(&self.directory).ok();
    }
}

/// Returns the fleet's key as bytes.
pub fn fleet_key() -> [u8; 32] {
    *blake3::Hash::from_hex(FLEET_KEY)
        .expect("the key is hexadecimal")
        .as_bytes()
}

pub fn ephemeral_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn engine_conf(index: usize, slots: u32, step: Duration) -> EngineConf {
    EngineConf {
        name: format!("e{index}"),
        address: ephemeral_address(),
        slots,
        step_base: step,
        step_per_stream: Duration::ZERO,
        prefill_per_thousand: Duration::ZERO,
        cached_prefixes: 16,
        load_lag: Duration::from_millis(500),
        checks_fencing: false,
    }
}

/// Waits until `condition` holds. Panics after [`MAX_WAIT`], which is no limit on latency.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    wait_at_most(MAX_WAIT, what, condition);
}

pub fn wait_at_most(timeout: Duration, what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + timeout;
    while !condition() {
        assert!(Instant::now() < deadline, "never: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn request(method: Method, address: SocketAddr, path: &str) -> RequestBuilder {
    RequestBuilder::new(method, format!("http://{address}{path}"))
        .bearer_auth(KEY)
        .connect_timeout(Duration::from_secs(2))
        .read_timeout(Duration::from_secs(30))
}

/// Requests a streamed response of `tokens` tokens.
pub fn chat(address: SocketAddr, case: &str, tokens: u64) -> attohttpc::Result<Response> {
    let prompt = prompt_with_length(case, tokens);
    let body = serde_json::json!({
        "model": "assistant",
        "messages": [{"role": "user", "content": prompt}],
        "stream": true,
    });
    request(Method::POST, address, "/v1/chat/completions")
        .bytes(body.to_string().into_bytes())
        .send()
}

/// Returns whether a streamed response is complete and has the expected content.
pub fn is_correct(response: Response, case: &str, tokens: u64) -> bool {
    let Ok(text) = response.text() else {
        return false;
    };
    let mut content = String::new();
    let mut is_complete = false;
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            is_complete = true;
        } else {
            let json: serde_json::Value = serde_json::from_str(data).expect("the data is JSON");
            let part = json["choices"][0]["delta"]["content"].as_str();
            content.push_str(part.unwrap_or_default());
        }
    }
    is_complete && content == Generator::new(&prompt_with_length(case, tokens)).response()
}

pub fn place_order(
    address: SocketAddr,
    key: Option<&str>,
    body: &str,
) -> attohttpc::Result<Response> {
    let mut request = request(Method::POST, address, "/svc/desk/orders");
    if let Some(key) = key {
        request = request.header("Idempotency-Key", key);
    }
    request.bytes(body.as_bytes().to_vec()).send()
}
