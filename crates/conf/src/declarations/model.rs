//! Types of the declarations.

use {
    baobab_unit::{DomainId, EngineId, ModelId, PoolId, WorkspaceId, id_of, pool_id},
    std::net::SocketAddr,
};

/// A group of callers that share keys and a weighted share of the fleet.
#[derive(Debug, Clone)]
pub struct Workspace {
    /// Name in its section title.
    pub name: String,
    /// Weight of its share relative to the other workspaces, from 1 to 1000.
    pub weight: u32,
    /// BLAKE3 digests of the accepted caller keys, in hexadecimal.
    pub key_digests: Vec<String>,
    /// Names of the models that it may use.
    pub models: Vec<String>,
    /// Names of the services that it may use.
    pub services: Vec<String>,
    /// Maximum number of requests queued on one router.
    pub queue_limit: u32,
}

/// An urgency class.
#[derive(Debug, Clone)]
pub struct Class {
    /// Name in its section title.
    pub name: String,
    /// Order within a workspace: lower ranks first. Only rank zero may use the reserved slots.
    pub rank: u8,
}

/// A model that engines serve.
#[derive(Debug, Clone)]
pub struct Model {
    /// Name in its section title.
    pub name: String,
}

/// A model engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Name in its section title.
    pub name: String,
    /// Name of the model it serves.
    pub model: String,
    /// Name of its failure domain.
    pub domain: String,
    /// HTTP address.
    pub address: SocketAddr,
    /// Maximum number of concurrent streams.
    pub slots: u32,
    /// Model version it must serve; `None` leaves its version unchanged.
    pub version: Option<String>,
    /// Whether it rejects orders with an outdated fencing number.
    pub checks_fencing: bool,
}

/// A set of paths of a service.
#[derive(Debug, Clone)]
pub struct Route {
    /// Path prefix below the service's name.
    pub path: String,
}

/// A plain service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name in its section title.
    pub name: String,
    /// Addresses of its replicas, which are interchangeable.
    pub addresses: Vec<SocketAddr>,
    /// Routes whose requests must not be retried.
    pub non_idempotent: Vec<Route>,
}

/// The content of a declarations file.
#[derive(Debug, Clone, Default)]
pub struct Declarations {
    /// Workspaces in file order.
    pub workspaces: Vec<Workspace>,
    /// Urgency classes in file order.
    pub classes: Vec<Class>,
    /// Models in file order.
    pub models: Vec<Model>,
    /// Engines in file order.
    pub engines: Vec<Engine>,
    /// Services in file order.
    pub services: Vec<Service>,
    /// Number of slots of each pool reserved for urgent requests.
    pub urgent_reserve_slots: u32,
}

impl Workspace {
    /// Returns the identifier used on the wire, derived from the name.
    #[must_use]
    pub fn id(&self) -> WorkspaceId {
        id_of(&self.name)
    }
}

impl Model {
    /// Returns the identifier used on the wire, derived from the name.
    #[must_use]
    pub fn id(&self) -> ModelId {
        id_of(&self.name)
    }
}

impl Engine {
    /// Returns the identifier used on the wire, derived from the name.
    #[must_use]
    pub fn id(&self) -> EngineId {
        id_of(&self.name)
    }

    /// Returns the identifier of its failure domain.
    #[must_use]
    pub fn domain_id(&self) -> DomainId {
        id_of(&self.domain)
    }

    /// Returns the identifier of its pool: its model in its failure domain.
    #[must_use]
    pub fn pool(&self) -> PoolId {
        pool_id(id_of(&self.model), self.domain_id())
    }
}

impl Service {
    /// Whether a request with this method and path must not be retried.
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
        let key_digest = blake3::hash(key.as_bytes());
        self.workspaces.iter().find(|workspace| {
            workspace
                .key_digests
                .iter()
                .filter_map(|text| blake3::Hash::from_hex(text).ok())
                .any(|digest| digest == key_digest)
        })
    }

    /// Returns the rank of a class, or `None` if the name is unknown.
    #[must_use]
    pub fn rank_of_class(&self, name: &str) -> Option<u8> {
        self.classes
            .iter()
            .find(|class| class.name == name)
            .map(|class| class.rank)
    }
}
