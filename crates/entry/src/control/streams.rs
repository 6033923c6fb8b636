//! Streams that run on this router, and the tokens they have received.

use {
    super::{Ended, StreamId},
    baobab_fair::{EngineUsage, StreamRow},
    baobab_unit::{EngineId, PoolId, Token, WorkspaceId},
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
    },
};

/// One stream.
#[derive(Debug)]
pub struct Stream {
    /// Pool of its engine.
    pub pool: PoolId,
    /// Engine.
    pub engine: EngineId,
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Tokens received, counted by the sending thread.
    pub progress: Arc<AtomicU64>,
    /// Set when the slot is taken back.
    pub revoked: Arc<AtomicBool>,
    rank: u8,
    counted: Token,
}

impl Stream {
    /// Describes a stream that has received nothing yet.
    pub fn new(pool: PoolId, engine: EngineId, workspace: WorkspaceId, rank: u8) -> Self {
        Self {
            pool,
            engine,
            workspace,
            progress: Arc::default(),
            revoked: Arc::default(),
            rank,
            counted: 0,
        }
    }
}

/// All streams and their counters since the router started.
#[derive(Debug, Default)]
pub struct Streams {
    running: BTreeMap<StreamId, Stream>,
    workspace_tokens: BTreeMap<(PoolId, WorkspaceId), Token>,
    engine_tokens: BTreeMap<(PoolId, EngineId), Token>,
}

impl Streams {
    /// Adds a stream.
    pub fn start(&mut self, id: StreamId, stream: Stream) {
        self.running.insert(id, stream);
    }

    /// Removes a stream and counts its last tokens.
    pub fn end(&mut self, ended: &Ended) -> Option<Stream> {
        let mut stream = self.running.remove(&ended.id)?;
        self.count(&mut stream, ended.tokens);
        Some(stream)
    }

    /// Takes a slot back from the least urgent stream of a workspace on an engine, the youngest of
    /// several.
    pub fn revoke(&mut self, engine: EngineId, workspace: WorkspaceId) {
        let chosen = self
            .running
            .iter()
            .filter(|(_, stream)| stream.engine == engine && stream.workspace == workspace)
            .filter(|(_, stream)| !stream.revoked.load(Ordering::Relaxed))
            .max_by_key(|(id, stream)| (stream.rank, **id));
        if let Some((_, stream)) = chosen {
            stream.revoked.store(true, Ordering::Relaxed);
        }
    }

    /// Counts the tokens that all streams have received.
    pub fn count_progress(&mut self) {
        let mut running = std::mem::take(&mut self.running);
        for stream in running.values_mut() {
            let received = stream.progress.load(Ordering::Relaxed);
            self.count(stream, received);
        }
        self.running = running;
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns the running streams of a pool by engine and workspace.
    pub fn rows(&self, pool: PoolId) -> Vec<StreamRow> {
        let mut counts: BTreeMap<(EngineId, WorkspaceId), u32> = BTreeMap::new();
        for stream in self.running.values().filter(|stream| stream.pool == pool) {
            *counts.entry((stream.engine, stream.workspace)).or_default() += 1;
        }
        counts
            .into_iter()
            .map(|((engine, workspace), running)| StreamRow {
                engine,
                workspace,
                running,
            })
            .collect()
    }

    /// Returns the running streams of this router by engine.
    pub fn in_use(&self) -> Vec<EngineUsage> {
        let mut counts: BTreeMap<EngineId, u32> = BTreeMap::new();
        for stream in self.running.values() {
            *counts.entry(stream.engine).or_default() += 1;
        }
        counts
            .into_iter()
            .map(|(engine, running)| EngineUsage { engine, running })
            .collect()
    }

    /// Returns the tokens received from a pool, by workspace.
    pub fn workspace_tokens(
        &self,
        pool: PoolId,
    ) -> impl Iterator<Item = (WorkspaceId, Token)> + '_ {
        self.workspace_tokens
            .range((pool, WorkspaceId::MIN)..=(pool, WorkspaceId::MAX))
            .map(|((_, workspace), tokens)| (*workspace, *tokens))
    }

    /// Returns the tokens received from an engine.
    pub fn engine_tokens(&self, pool: PoolId, engine: EngineId) -> Token {
        self.engine_tokens
            .get(&(pool, engine))
            .copied()
            .unwrap_or_default()
    }

    /// Returns the tokens a workspace has received from all pools.
    pub fn tokens_of(&self, workspace: WorkspaceId) -> Token {
        self.workspace_tokens
            .iter()
            .filter(|((_, other), _)| *other == workspace)
            .map(|(_, tokens)| tokens)
            .sum()
    }

    fn count(&mut self, stream: &mut Stream, received: Token) {
        let growth = received.saturating_sub(stream.counted);
        if growth == 0 {
            return;
        }
        stream.counted = received;
        let workspace = (stream.pool, stream.workspace);
        *self.workspace_tokens.entry(workspace).or_default() += growth;
        let engine = (stream.pool, stream.engine);
        *self.engine_tokens.entry(engine).or_default() += growth;
    }
}
