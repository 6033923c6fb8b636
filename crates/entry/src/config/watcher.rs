//! Reads the head row and the platform's host list again and again.

use {
    super::{InForce, copies::ask_peers},
    crate::{context::AppContext, control::Command},
    baobab_audit::Decision,
    baobab_conf::declarations::{Head, digest_of, object_key, parse_declarations},
    baobab_store::StoreError,
    flume::{Receiver, Sender},
    std::{io::Result, sync::Arc, thread},
};

/// The way to the watcher's thread.
#[derive(Debug, Clone)]
pub struct Watcher {
    wake: Sender<()>,
}

impl Watcher {
    /// Makes the way to a watcher that is spawned later.
    pub fn channel() -> (Self, Receiver<()>) {
        let (wake, woken) = flume::bounded(1);
        (Self { wake }, woken)
    }

    /// Starts the watcher's thread.
    pub fn spawn(context: Arc<AppContext>, woken: Receiver<()>) -> Result<()> {
        thread::Builder::new()
            .name("config".into())
            .spawn(move || watch(&context, &woken))
            .map(drop)
    }

    /// Makes the watcher read at once, because a peer has a newer version.
    pub fn wake(&self) {
        if self.wake.try_send(()).is_err() {
            log::trace!("the watcher is about to read anyway");
        }
    }
}

fn watch(context: &AppContext, woken: &Receiver<()>) {
    loop {
        if let Err(error) = read_head(context) {
            log::warn!("the configuration head can't be read: {error}");
            for copy in ask_peers(context) {
                take(context, copy.version, &copy.digest, &copy.text);
            }
        }
        match context.platform.hosts() {
            Ok(hosts) => context.command(Command::Hosts(hosts)),
            Err(error) => log::warn!("the host list can't be read: {error}"),
        }
        if woken.recv_timeout(context.conf.head_poll).is_ok() {
            log::debug!("a peer has a newer configuration");
        }
    }
}

fn read_head(context: &AppContext) -> std::result::Result<(), StoreError> {
    let Some(row) = context.platform.read(Head::ROW_KEY)? else {
        return Ok(());
    };
    context.config.confirm(context.clock.now());
    if row.version <= context.config.version() {
        return Ok(());
    }
    let Some(head) = Head::from_text(&row.value) else {
        log::error!(
            "the configuration head of version {} is malformed",
            row.version
        );
        return Ok(());
    };
    let Some(bytes) = context.platform.get(&object_key(&head.digest))? else {
        log::error!(
            "the configuration {} is not in the object store",
            head.digest
        );
        return Ok(());
    };
    let text = String::from_utf8_lossy(&bytes).into_owned();
    take(context, row.version, &head.digest, &text);
    Ok(())
}

/// Checks a configuration's content and puts it in force.
pub fn take(context: &AppContext, version: u64, digest: &str, text: &str) {
    if digest_of(text) != digest {
        log::error!("the configuration {digest} was altered");
        return;
    }
    let declarations = match parse_declarations(&format!("version {version}"), text) {
        Ok(declarations) => declarations,
        Err(findings) => {
            log::error!("version {version} of the configuration is not usable: {findings}");
            return;
        }
    };
    let in_force = Arc::new(InForce {
        version,
        digest: digest.to_owned(),
        text: text.to_owned(),
        declarations,
    });
    if !context.config.put(Arc::clone(&in_force)) {
        return;
    }
    log::info!("configuration version {version} is in force");
    let gauge = i64::try_from(version).unwrap_or(i64::MAX);
    context.metrics.config_version.set(gauge);
    context.audit.add(Decision::Configured {
        version,
        digest: digest.to_owned(),
    });
    context.command(Command::InForce(in_force));
}
