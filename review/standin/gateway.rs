//! The router's program as a process.

use crate::{http, store::Store};
use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

/// Addresses of one run of a case: loopback addresses that nothing else uses.
#[derive(Debug, Clone)]
pub struct Net {
    prefix: String,
}

impl Net {
    pub fn find() -> Self {
        let pid = std::process::id();
        for step in 0..200 {
            let number = pid.wrapping_mul(7).wrapping_add(step * 37);
            let prefix = format!("127.{}.{}", 20 + number % 200, number / 200 % 250);
            let is_free = (1..=40).all(|host| {
                let tcp = |port: u16| TcpListener::bind(format!("{prefix}.{host}:{port}")).is_ok();
                tcp(8783)
                    && tcp(8780)
                    && tcp(9464)
                    && UdpSocket::bind(format!("{prefix}.{host}:7400")).is_ok()
            });
            if is_free {
                return Self { prefix };
            }
        }
        panic!("no free loopback addresses");
    }

    pub fn ip(&self, host: usize) -> String {
        format!("{}.{host}", self.prefix)
    }
}

/// Time within which a router has to be ready.
const MAX_START_TIME: Duration = Duration::from_secs(15);

/// Processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn send_signal(signal: &str, id: u32) {
    let _ = Command::new("sh")
        .args(["-c", &format!("kill -{signal} {id}")])
        .status();
}

/// Kills all routers, when a case takes too long.
pub fn kill_all() {
    for id in STARTED.lock().expect("no panic while locked").iter() {
        send_signal("KILL", *id);
    }
}

/// A router. Dropping it kills the process.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    directory: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Writes the settings and starts the process with the command of the deploy file.
    pub fn start(directory: &str, net: &Net, host: usize, store: &Store) -> Self {
        let name = format!("edge-{host}");
        let store = store.address;
        let ip = net.ip(host);
        let directory = PathBuf::from(directory).join(&name);
        fs::create_dir_all(&directory).expect("a temporary folder");
        let settings = format!(
            r#"{{"NodeName":"{name}","Role":"router","MachineClass":"edge","Serves":["edge"],"Ip":"{ip}",
"Zone":"chaguanas","Region":"tt-central","Zones":{{"chaguanas":"tt-central"}},
"ListenersCfg":{{"Frontend":"{ip}:8783","Ready":"{ip}:8780"}},"PortRange":[7400,7415],"SeedNodes":[],
"Bootstrap":true,"LossCounts":false,
"Limits":{{"CpuQuota":0.25,"CpuCores":1,"MemoryMb":260,"MaxFds":4200,"LinkMbps":1000.0,"DiskMb":0}},
"DataDir":null,"Discovery":"platform","EntryType":"anycast","HeartbeatMs":1200,
"Contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],
"FaultTolerance":{{"Machines":2,"Zones":0,"Regions":0}},
"Bounds":{{"SeedLagS":3,"AddrReuseS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,"GraceS":8,
"LossSlackMs":200,"ConfigApplyMs":2000,"DowngradeSlackMs":250,"MaxSkewMs":5000,"StrictRevoke":true,
"RevokeMs":5000,"RetryRatio":0.2,"RetryWindowS":10,"RetryAllowance":52,"RecoveryS":12,"PassMs":120,
"RetryAfterS":10,"QuotaWindowS":4}},
"Platform":{{"Address":"{store}","form":"table","WritesPerS":400,"ReadsPerS":2000,"TransactionMs":5.0,
"PartOpsS":200,"RowBytes":65536,"CrossPartition":false,"RetentionS":20,"BlobBytes":8388608,"BlobMs":25.0,
"BlobMbS":80.0}}}}"#
        );
        fs::write(directory.join("local.json"), settings).expect("settings are written");
        let mut gateway = Self {
            name,
            callers: format!("{ip}:8783").parse().expect("an address"),
            ready: format!("{ip}:8780").parse().expect("an address"),
            directory,
            child: None,
        };
        gateway.start_again();
        gateway
    }

    pub fn start_again(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.directory.join("log"))
            .expect("a log file");
        let child = Command::new("target/release/baobab-gateway")
            .env("BAOBABLUG_BOOT", self.directory.join("local.json"))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("target/release/baobab-gateway is built");
        STARTED
            .lock()
            .expect("no panic while locked")
            .push(child.id());
        self.child = Some(child);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            let mut started = STARTED.lock().expect("no panic while locked");
            started.retain(|id| *id != child.id());
        }
    }

    /// Stops the router as planned: sends SIGTERM and waits until the process has ended.
    pub fn stop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let id = child.id();
            send_signal("TERM", id);
            let _ = child.wait();
            let mut started = STARTED.lock().expect("no panic while locked");
            started.retain(|started| *started != id);
        }
    }

    pub fn is_ready(&self) -> bool {
        let headers = [("Host", "x")];
        let answer = http::call(
            self.ready,
            "GET",
            "/readyz",
            &headers,
            &[],
            Duration::from_millis(500),
        );
        answer.status == 200
    }

    /// Waits until the router is ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + MAX_START_TIME;
        while !self.is_ready() {
            if Instant::now() > deadline {
                return Err(format!("{} is not ready", self.name));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
