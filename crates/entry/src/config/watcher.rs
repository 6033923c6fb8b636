//! Polls the configuration's head row and the platform's host list.

use {
    super::{Configuration, copies::fetch_from_peers},
    crate::{context::AppContext, control::Command},
    baobab_audit::Decision,
    baobab_conf::declarations::{Head, digest_of, object_key, parse_declarations},
    baobab_store::StoreError,
    flume::{Receiver, Sender},
    std::{io::Result, sync::Arc, thread},
};

/// Handle that wakes the polling thread.
#[derive(Debug, Clone)]
pub struct ConfigWatcher {
    wake: Sender<()>,
}

impl ConfigWatcher {
    /// Creates the handle, and the receiver for a thread that is spawned later.
    pub fn channel() -> (Self, Receiver<()>) {
        let (wake, wake_receiver) = flume::bounded(1);
        (Self { wake }, wake_receiver)
    }

    /// Starts the polling thread.
    pub fn spawn(context: Arc<AppContext>, wake_receiver: Receiver<()>) -> Result<()> {
        thread::Builder::new()
            .name("config".into())
            .spawn(move || run(&context, &wake_receiver))
            .map(drop)
    }

    /// Makes the thread poll at once, because a peer has a newer version.
    pub fn wake(&self) {
        if self.wake.try_send(()).is_err() {
            log::trace!("configuration watcher is already woken");
        }
    }
}

fn run(context: &AppContext, wake_receiver: &Receiver<()>) {
    loop {
        if let Err(error) = read_head(context) {
            log::warn!("failed to read the configuration head: {error}");
            for copy in fetch_from_peers(context) {
                apply_configuration(context, copy.version, &copy.digest, &copy.text);
            }
        }
        match context.platform.hosts() {
            Ok(hosts) => context.send_command(Command::Hosts(hosts)),
            Err(error) => log::warn!("failed to read the host list: {error}"),
        }
        if wake_receiver.recv_timeout(context.conf.head_poll).is_ok() {
            log::debug!("polling the configuration: a peer has a newer version");
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
        log::error!("configuration head of version {} is malformed", row.version);
        return Ok(());
    };
    let Some(bytes) = context.platform.get(&object_key(&head.digest))? else {
        log::error!(
            "configuration {} is missing from the object store",
            head.digest
        );
        return Ok(());
    };
    let text = String::from_utf8_lossy(&bytes).into_owned();
    apply_configuration(context, row.version, &head.digest, &text);
    Ok(())
}

/// Verifies and parses a configuration, and activates it if it is newer.
pub fn apply_configuration(context: &AppContext, version: u64, digest: &str, text: &str) {
    if digest_of(text) != digest {
        log::error!("configuration text does not match its digest {digest}");
        return;
    }
    let declarations = match parse_declarations(&format!("version {version}"), text) {
        Ok(declarations) => declarations,
        Err(findings) => {
            log::error!("configuration version {version} is invalid: {findings}");
            return;
        }
    };
    let configuration = Arc::new(Configuration {
        version,
        digest: digest.to_owned(),
        text: text.to_owned(),
        declarations,
    });
    if !context.config.adopt(Arc::clone(&configuration)) {
        return;
    }
    log::info!("configuration version {version} is in force");
    let gauge_value = i64::try_from(version).unwrap_or(i64::MAX);
    context.metrics.config_version.set(gauge_value);
    context.audit.record(Decision::Configured {
        version,
        digest: digest.to_owned(),
    });
    context.send_command(Command::Configuration(configuration));
}
