//! Identifiers used on the wire, derived from declared names.

/// Identifier of a router host.
pub type HostId = u32;
/// Identifier of a failure domain.
pub type DomainId = u32;
/// Identifier of a workspace.
pub type WorkspaceId = u32;
/// Identifier of a model.
pub type ModelId = u32;
/// Identifier of a backend server.
pub type EngineId = u32;
/// Identifier of a pool: the engines of one model in one failure domain.
pub type PoolId = u32;
/// Identifier of one run of a process; a later run of the same host has a higher one.
pub type Incarnation = u64;
/// Position of a message in its sender's stream.
pub type Sequence = u64;
/// Number of generated tokens, the unit in which service is measured.
pub type Token = u64;

/// Returns the identifier of a name: the first four bytes of its BLAKE3 digest.
///
/// The configuration check rejects names whose identifiers collide.
#[must_use]
pub fn id_of(name: &str) -> u32 {
    let digest = blake3::hash(name.as_bytes());
    let bytes = digest.as_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// Returns the identifier of the pool of a model in a failure domain.
#[must_use]
pub fn pool_id(model: ModelId, domain: DomainId) -> PoolId {
    id_of(&format!("{model}/{domain}"))
}
