//! The running streams of this router, and counters of the tokens they have received.

use {
    super::{StreamEnd, StreamId},
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

/// A stream from an engine to a caller.
#[derive(Debug)]
pub struct Stream {
    /// Pool that the engine belongs to.
    pub pool: PoolId,
    /// Engine that generates the tokens.
    pub engine: EngineId,
    /// Workspace that the tokens count for.
    pub workspace: WorkspaceId,
    /// Tokens received; written by the thread that serves the request.
    pub progress: Arc<AtomicU64>,
    /// Set when the slot is revoked.
    pub revoked: Arc<AtomicBool>,
    rank: u8,
    counted_tokens: Token,
}

impl Stream {
    /// Creates a stream that has received no tokens.
    pub fn new(pool: PoolId, engine: EngineId, workspace: WorkspaceId, rank: u8) -> Self {
        Self {
            pool,
            engine,
            workspace,
            progress: Arc::default(),
            revoked: Arc::default(),
            rank,
            counted_tokens: 0,
        }
    }
}

/// All running streams, and token counters since the router started.
#[derive(Debug, Default)]
pub struct Streams {
    running: BTreeMap<StreamId, Stream>,
    workspace_tokens: BTreeMap<(PoolId, WorkspaceId), Token>,
    engine_tokens: BTreeMap<(PoolId, EngineId), Token>,
}

impl Streams {
    /// Adds a running stream.
    pub fn start(&mut self, id: StreamId, stream: Stream) {
        self.running.insert(id, stream);
    }

    /// Removes a stream after counting its last tokens. Returns `None` for an unknown stream.
    pub fn end(&mut self, stream_end: &StreamEnd) -> Option<Stream> {
        let mut stream = self.running.remove(&stream_end.id)?;
        self.count_tokens(&mut stream, stream_end.tokens);
        Some(stream)
    }

    /// Revokes the slot of the least urgent stream of a workspace on an engine, and among equals of
    /// the youngest.
    pub fn revoke(&mut self, engine: EngineId, workspace: WorkspaceId) {
        let selected = self
            .running
            .iter()
            .filter(|(_, stream)| stream.engine == engine && stream.workspace == workspace)
            .filter(|(_, stream)| !stream.revoked.load(Ordering::Relaxed))
            .max_by_key(|(id, stream)| (stream.rank, **id));
        if let Some((_, stream)) = selected {
            stream.revoked.store(true, Ordering::Relaxed);
        }
    }

    /// Adds the tokens received since the last call to the counters.
    pub fn count_progress(&mut self) {
        let mut running = std::mem::take(&mut self.running);
        for stream in running.values_mut() {
            let received = stream.progress.load(Ordering::Relaxed);
            self.count_tokens(stream, received);
        }
        self.running = running;
    }

    /// Returns the number of running streams.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of running streams of a pool by engine and workspace.
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

    /// Returns the number of running streams of this router by engine.
    pub fn engine_usage(&self) -> Vec<EngineUsage> {
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

    /// Returns the tokens received from an engine of a pool.
    pub fn engine_tokens(&self, pool: PoolId, engine: EngineId) -> Token {
        self.engine_tokens
            .get(&(pool, engine))
            .copied()
            .unwrap_or_default()
    }

    /// Returns the tokens that a workspace has received from all pools.
    pub fn tokens_of(&self, workspace: WorkspaceId) -> Token {
        self.workspace_tokens
            .iter()
            .filter(|((_, other), _)| *other == workspace)
            .map(|(_, tokens)| tokens)
            .sum()
    }

    fn count_tokens(&mut self, stream: &mut Stream, received: Token) {
        let new_tokens = received.saturating_sub(stream.counted_tokens);
        if new_tokens == 0 {
            return;
        }
        stream.counted_tokens = received;
        let workspace = (stream.pool, stream.workspace);
        *self.workspace_tokens.entry(workspace).or_default() += new_tokens;
        let engine = (stream.pool, stream.engine);
        *self.engine_tokens.entry(engine).or_default() += new_tokens;
    }
}
