//! The declared things.

use {
    baobab_unit::{DomainId, EngineId, ModelId, PoolId, WorkspaceId, id_of, pool_id},
    std::net::SocketAddr,
};

/// A group of callers with a weight and keys.
#[derive(Debug, Clone)]
pub struct Workspace {
    /// Name.
    pub name: String,
    /// Share of the fleet relative to the other workspaces.
    pub weight: u32,
    /// BLAKE3 digests of the accepted caller keys, in hexadecimal.
    pub key_digests: Vec<String>,
    /// Names of the models it may reach.
    pub models: Vec<String>,
    /// Names of the services it may reach.
    pub services: Vec<String>,
    /// Requests that may wait on one router.
    pub queue_limit: u32,
}

/// An urgency class.
#[derive(Debug, Clone)]
pub struct Class {
    /// Name.
    pub name: String,
    /// Order within a workspace: lower goes first. Rank zero may use the reserved slots.
    pub rank: u8,
}

/// A model in use.
#[derive(Debug, Clone)]
pub struct Model {
    /// Name.
    pub name: String,
}

/// A model engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Name.
    pub name: String,
    /// Name of the model that it serves.
    pub model: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Address.
    pub address: SocketAddr,
    /// Streams that it serves at the same time.
    pub slots: u32,
    /// Version of its model that it shall serve; `None` leaves it as it is.
    pub version: Option<String>,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// A route of a service.
#[derive(Debug, Clone)]
pub struct Route {
    /// Path prefix below the service's name.
    pub path: String,
}

/// A plain service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Addresses of its replicas; each accepts every request.
    pub addresses: Vec<SocketAddr>,
    /// Routes whose requests must not be repeated.
    pub non_idempotent: Vec<Route>,
}

/// A whole declarations file.
#[derive(Debug, Clone, Default)]
pub struct Declarations {
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Urgency classes.
    pub classes: Vec<Class>,
    /// Models.
    pub models: Vec<Model>,
    /// Engines.
    pub engines: Vec<Engine>,
    /// Services.
    pub services: Vec<Service>,
    /// Slots of each pool kept for urgent requests.
    pub urgent_reserve_slots: u32,
}

impl Workspace {
    /// Identifier on the wire.
    #[must_use]
    pub fn id(&self) -> WorkspaceId {
        id_of(&self.name)
    }
}

impl Model {
    /// Identifier on the wire.
    #[must_use]
    pub fn id(&self) -> ModelId {
        id_of(&self.name)
    }
}

impl Engine {
    /// Identifier on the wire.
    #[must_use]
    pub fn id(&self) -> EngineId {
        id_of(&self.name)
    }

    /// Identifier of its failure domain.
    #[must_use]
    pub fn domain_id(&self) -> DomainId {
        id_of(&self.domain)
    }

    /// Identifier of its pool.
    #[must_use]
    pub fn pool(&self) -> PoolId {
        pool_id(id_of(&self.model), self.domain_id())
    }
}

impl Service {
    /// Tells whether a request to this path must not be repeated.
    #[must_use]
    pub fn is_non_idempotent(&self, method: &str, path: &str) -> bool {
        method != "GET"
            && method != "HEAD"
            && self
                .non_idempotent
                .iter()
                .any(|route| path.starts_with(&route.path))
    }
}

impl Declarations {
    /// Returns the workspace that a caller key belongs to. Digests are compared in constant time.
    #[must_use]
    pub fn workspace_of_key(&self, key: &str) -> Option<&Workspace> {
        let given = blake3::hash(key.as_bytes());
        self.workspaces.iter().find(|workspace| {
            workspace
                .key_digests
                .iter()
                .filter_map(|text| blake3::Hash::from_hex(text).ok())
                .any(|digest| digest == given)
        })
    }

    /// Returns the rank of a class, the least urgent one where the name is unknown.
    #[must_use]
    pub fn rank_of_class(&self, name: &str) -> Option<u8> {
        self.classes
            .iter()
            .find(|class| class.name == name)
            .map(|class| class.rank)
    }
}
