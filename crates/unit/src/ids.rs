//! Identifiers used on the wire, derived from the names in the declarations.

/// A router host.
pub type HostId = u32;
/// A failure domain.
pub type DomainId = u32;
/// A workspace.
pub type WorkspaceId = u32;
/// A model.
pub type ModelId = u32;
/// A backend server.
pub type EngineId = u32;
/// The engines of one model in one failure domain.
pub type PoolId = u32;
/// One run of a process, drawn when it starts.
pub type Incarnation = u64;
/// A position in a sender's stream of messages.
pub type Sequence = u64;
/// Generated tokens, the unit of service.
pub type Token = u64;

/// Returns the identifier of a name: the first four bytes of its BLAKE3 digest.
///
/// The configuration check refuses two names with the same identifier.
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
