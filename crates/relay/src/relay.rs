//! Starts and stops the traffic thread.

use {
    crate::{
        availability, callers,
        command::Command,
        core::{Core, Phase},
        error::RelayError,
        gossip::GossipSocket,
        header_codec::HeaderCodec,
        identity::Identity,
        idle_time::IdleTime,
        limits, loads, operators, retries,
        settings::Settings,
        shared::Shared,
        streams, ticker,
    },
    baobab_availability::ListingKind,
    baobab_place::{Server, ServerKey},
    baobab_unit::id_of,
    flume::{Receiver, Sender},
    std::{
        future::pending,
        rc::Rc,
        sync::Arc,
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::{
        runtime::Builder,
        task::LocalSet,
        time::{Instant, sleep},
    },
};

/// Time in which the balancer detects that a router is not ready: two health checks one second
/// apart, and a third in case one was just missed.
const READINESS_PROPAGATION: Duration = Duration::from_secs(3);
/// The process ends this long before it would be killed, even with requests in flight.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Interval of checks whether all requests have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A running traffic thread.
#[derive(Debug)]
pub struct Handle {
    commands: Sender<Command>,
    thread: JoinHandle<()>,
}

impl Handle {
    /// Stops the router and waits until the requests in flight have ended, for at most the grace
    /// period.
    pub fn stop(self) {
        if self.commands.send(Command::Stop).is_err() {
            log::error!("the traffic thread ended before it was stopped");
        }
        if self.thread.join().is_err() {
            log::error!("the traffic thread panicked");
        }
    }
}

/// Starts the traffic thread. `header_codec` is called on that thread.
///
/// # Errors
///
/// Fails if the thread or its runtime cannot be started, or an address cannot be bound.
pub fn spawn(
    settings: Settings,
    shared: Shared,
    header_codec: impl FnOnce() -> Box<dyn HeaderCodec> + Send + 'static,
    identity: Identity,
    commands: (Sender<Command>, Receiver<Command>),
) -> Result<Handle, RelayError> {
    let (sender, receiver) = commands;
    let (started_sender, started) = flume::bounded(1);
    let thread = thread::Builder::new()
        .name("traffic".to_owned())
        .spawn(move || {
            let result = run(
                settings,
                shared,
                header_codec(),
                identity,
                &receiver,
                &started_sender,
            );
            if let Err(error) = result {
                let _ = started_sender.send(Err(error));
            }
        })
        .map_err(RelayError::Runtime)?;
    match started.recv() {
        Ok(Ok(())) | Err(_) => {}
        Ok(Err(error)) => return Err(error),
    }
    Ok(Handle {
        commands: sender,
        thread,
    })
}

fn run(
    settings: Settings,
    shared: Shared,
    header_codec: Box<dyn HeaderCodec>,
    identity: Identity,
    commands: &Receiver<Command>,
    started: &Sender<Result<(), RelayError>>,
) -> Result<(), RelayError> {
    let idle_time = IdleTime::new();
    let mut builder = Builder::new_current_thread();
    idle_time.observe(&mut builder);
    let runtime = builder.enable_all().build().map_err(RelayError::Runtime)?;
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, async {
        let callers = callers::bind(settings.caller_address)?;
        let health = callers::bind(settings.health_address)?;
        let metrics = callers::bind(settings.metrics_address)?;
        let socket = GossipSocket::bind(settings.gossip_address, id_of(&settings.host), identity)
            .await
            .map_err(|error| RelayError::Bind(settings.gossip_address, error))?;
        let core = Rc::new(Core::new(settings, shared, header_codec, socket, idle_time));
        availability::on_bounds(&core);
        tokio::task::spawn_local(callers::serve(Rc::clone(&core), callers));
        tokio::task::spawn_local(operators::serve(Rc::clone(&core), health));
        tokio::task::spawn_local(operators::serve(Rc::clone(&core), metrics));
        tokio::task::spawn_local(ticker::run(Rc::clone(&core)));
        tokio::task::spawn_local(ticker::receive(Rc::clone(&core)));
        tokio::task::spawn_local(loads::report_changes(Rc::clone(&core)));
        let _ = started.send(Ok(()));
        run_commands(&core, commands).await;
        tokio::select! {
            () = drain(&core) => {}
            () = run_commands_until_closed(&core, commands) => {}
        }
        Ok(())
    })
}

async fn run_commands(core: &Core, commands: &Receiver<Command>) {
    while let Ok(command) = commands.recv_async().await {
        if matches!(command, Command::Stop) {
            return;
        }
        apply(core, command);
    }
}

/// Applies commands while the router stops. Never returns.
async fn run_commands_until_closed(core: &Core, commands: &Receiver<Command>) {
    while let Ok(command) = commands.recv_async().await {
        apply(core, command);
    }
    pending::<()>().await;
}

fn apply(core: &Core, command: Command) {
    let now = core.now();
    match command {
        Command::Adopt(configuration) => {
            let version = configuration.version;
            let adopted = Arc::clone(&configuration);
            if core.active_configuration.borrow_mut().adopt(configuration) {
                log::info!(version; "configuration is in force");
                availability::on_configuration(core, &adopted);
                on_services_changed(core);
            }
        }
        Command::Confirm(confirmation) => {
            core.active_configuration.borrow_mut().confirm(confirmation);
            gossip_as_reader(core);
        }
        Command::Evacuated(domains) => availability::on_evacuated(core, domains),
        Command::Servers(servers) => {
            log::info!(count = servers.len(); "list of servers received");
            for server in &servers {
                streams::on_announced(core, core.placer.borrow().registry.get(server.key), server);
            }
            let mut placer = core.placer.borrow_mut();
            let is_other_run = |server: &Server| {
                let known = placer.registry.get(server.key);
                known.is_some_and(|known| known.started_unix_ms != server.started_unix_ms)
            };
            let other_runs: Vec<ServerKey> = servers
                .iter()
                .filter(|server| is_other_run(server))
                .map(|server| server.key)
                .collect();
            for key in other_runs {
                placer.on_other_run_announced(key);
            }
            placer.registry.replace(servers.clone(), now);
            drop(placer);
            availability::on_announced(core, &servers, ListingKind::Listing);
            on_services_changed(core);
        }
        Command::Announce(server) => announce(core, *server),
        Command::Withdraw(id) => {
            let is_gone = core.placer.borrow_mut().registry.withdraw(&id, now);
            log::info!(server = id.as_str(), is_gone; "server is no longer announced");
        }
        Command::ServersAvailable => core.placer.borrow_mut().registry.on_list_available(now),
        Command::ServersCurrent => core.placer.borrow_mut().registry.on_list_current(),
        Command::ServersUnavailable => core.placer.borrow_mut().registry.on_list_unavailable(),
        Command::StoreRestored => {
            core.placer.borrow_mut().registry.on_store_restored(now);
            core.streams.borrow_mut().origins.on_store_restored();
        }
        Command::RestoredPeers(peers) => core.peer_directory.borrow_mut().merge(peers, now),
        Command::Peers(peers) => {
            core.peer_directory.borrow_mut().replace(peers, now);
            retries::on_listed(core);
        }
        Command::PeerStarted(peer) => core.peer_directory.borrow_mut().insert(peer, now),
        Command::FirstRun => retries::on_first_run(core),
        Command::PeerStopped(host) => core.peer_directory.borrow_mut().remove(&host),
        Command::Records(rows) => streams::on_records(core, rows),
        Command::RecordsWritten(is_written) => streams::on_written(core, is_written),
        Command::Bounds(bounds) => {
            core.active_configuration
                .borrow_mut()
                .set_lease(bounds.key_lease);
            retries::on_bounds(core, &bounds);
            *core.bounds.borrow_mut() = bounds;
            availability::on_bounds(core);
        }
        Command::PublishTable(table, delta) => {
            if !delta.changes.is_empty() {
                gossip_as_reader(core);
            }
            if let Some(outbox) = core.outboxes.borrow_mut().get_mut(usize::from(table)) {
                outbox.put(delta, now);
            }
        }
        Command::StopPublishing(table) => {
            if let Some(outbox) = core.outboxes.borrow_mut().get_mut(usize::from(table)) {
                outbox.clear();
            }
        }
        Command::Stop => {}
    }
}

/// Publishes at once what this router has read from the store, if it reads the tables for others.
/// In a large fleet the others would otherwise read the store themselves before they are told.
fn gossip_as_reader(core: &Core) {
    if !core.shared.tables.follows_gossip() {
        core.gossip_now.notify_one();
    }
}

fn announce(core: &Core, server: Server) {
    let key = server.key;
    log::info!(
        server = server.id.as_str(),
        service = server.service.as_str(),
        is_leaving = server.is_leaving;
        "server is announced"
    );
    streams::on_announced(core, core.placer.borrow().registry.get(key), &server);
    let announced = std::slice::from_ref(&server);
    availability::on_announced(core, announced, ListingKind::Change);
    let is_leaving = server.is_leaving;
    let mut placer = core.placer.borrow_mut();
    if placer.registry.announce(server) {
        placer.on_server_restarted(key);
        if let Some(change) = placer.limits.on_restart(key) {
            limits::log_change(&change, "restart");
        }
        core.pool.close_idle(key);
        core.pool.on_server_restarted(key);
    }
    drop(placer);
    if is_leaving {
        core.pool.close_idle(key);
    }
    on_services_changed(core);
}

/// Applies what depends on the configuration and the announced servers.
fn on_services_changed(core: &Core) {
    set_engine_memory(core);
    streams::update_announced(core);
}

fn set_engine_memory(core: &Core) {
    let (Some(configuration), _) = core.configuration() else {
        return;
    };
    let mut placer = core.placer.borrow_mut();
    for service in configuration.services.values() {
        if let Some(engine) = &service.engine {
            placer.set_memory(&service.name, engine.cache_tokens);
        }
    }
}

/// Stops the router: waits until the balancer redirects callers, then until all requests end.
async fn drain(core: &Core) {
    let grace = core.bounds.borrow().grace;
    let kill_at = Instant::now() + grace;
    core.kill_at.set(Some(kill_at));
    core.phase.set(Phase::Leaving);
    log::info!(under_way = core.in_flight.get(), grace_ms = baobab_unit::millis(grace); "planned stop has begun");
    sleep(READINESS_PROPAGATION.min(grace / 2)).await;
    core.phase.set(Phase::Draining);
    let deadline = kill_at - KILL_MARGIN;
    // Idle connections close at their next check.
    let mut idle_checks = 0;
    while idle_checks < 20 && Instant::now() < deadline {
        sleep(DRAIN_CHECK_INTERVAL).await;
        idle_checks = if core.in_flight.get() == 0 {
            idle_checks + 1
        } else {
            0
        };
    }
    log::info!(under_way = core.in_flight.get(); "router stops");
}
