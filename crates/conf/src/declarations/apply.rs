//! Applies declarations: stores the content under its digest, then updates the head row if its
//! version matches.

use {
    super::{
        digest_of,
        head::{Head, object_key},
    },
    baobab_store::{Insert, Inserted, Platform, Replace, Replaced, Row, StoreError},
    quick_error::quick_error,
    std::time::{SystemTime, UNIX_EPOCH},
};

quick_error! {
    /// Why declarations could not be read or applied.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ApplyError {
        /// Another operator applied a file first.
        Conflict(version: u64, winner: String) {
            display("version {version} by {winner} was applied in the meantime; \
                     review its changes and apply again")
        }
        /// A platform call failed before the head row was written; nothing was applied.
        Platform(error: StoreError) {
            display("nothing was applied: {error}")
            from()
        }
        /// The reply to the head row's write was lost; the file may have been applied.
        Unknown(error: StoreError) {
            display("the file may or may not have been applied ({error}); \
                     check with 'baobabctl show' once the platform responds")
        }
        /// The head row is invalid, or the content is missing or does not match its digest.
        Damaged(part: String) {
            display("the {part} stored in the platform is damaged")
        }
    }
}

/// The declarations that are currently active.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveDeclarations {
    /// Version, which is that of the head row.
    pub version: u64,
    /// Content of the head row.
    pub head: Head,
    /// Text of the declarations file.
    pub text: String,
}

/// Reads the active declarations; `None` if none were applied yet.
///
/// # Errors
///
/// Fails if the platform does not respond or its content is damaged.
pub fn read_active(platform: &dyn Platform) -> Result<Option<ActiveDeclarations>, ApplyError> {
    let Some(row) = platform.read(Head::ROW_KEY)? else {
        return Ok(None);
    };
    let head = parse_head(&row)?;
    let content = platform
        .get(&object_key(&head.digest))?
        .ok_or_else(|| ApplyError::Damaged("configuration content".into()))?;
    let text = String::from_utf8_lossy(&content).into_owned();
    if digest_of(&text) != head.digest {
        return Err(ApplyError::Damaged("configuration content".into()));
    }
    Ok(Some(ActiveDeclarations {
        version: row.version,
        head,
        text,
    }))
}

/// Applies the text of a valid declarations file and returns its version.
///
/// Without `expected_version`, the version read at the start must still be active at the write.
///
/// # Errors
///
/// Fails if another version was applied first, or if the platform does not respond.
pub fn apply_declarations(
    platform: &dyn Platform,
    text: &str,
    applied_by: &str,
    expected_version: Option<u64>,
) -> Result<u64, ApplyError> {
    let expected_version = match expected_version {
        Some(version) => version,
        None => platform.read(Head::ROW_KEY)?.map_or(0, |row| row.version),
    };
    let head = Head {
        digest: digest_of(text),
        applied_by: applied_by.to_owned(),
        applied_at_ms: now_ms(),
    };
    platform.put(&object_key(&head.digest), text.as_bytes())?;
    match write_head(platform, &head, expected_version) {
        Err(ApplyError::Platform(error @ StoreError::ReplyLost(_))) => {
            read_back(platform, &head, error)
        }
        other => other,
    }
}

/// Returns the non-empty lines that are in only one of two texts, prefixed with `-` or `+`.
#[must_use]
pub fn changed_lines(before: &str, after: &str) -> Vec<String> {
    let only_in = |one: &str, other: &str, sign: char| -> Vec<String> {
        one.lines()
            .filter(|line| !line.trim().is_empty())
            .filter(|line| !other.lines().any(|known| known == *line))
            .map(|line| format!("{sign} {line}"))
            .collect()
    };
    let mut lines = only_in(before, after, '-');
    lines.extend(only_in(after, before, '+'));
    lines
}

fn write_head(
    platform: &dyn Platform,
    head: &Head,
    expected_version: u64,
) -> Result<u64, ApplyError> {
    let key = Head::ROW_KEY.to_owned();
    let value = head.to_text();
    if expected_version == 0 {
        return match platform.insert(Insert { key, value })? {
            Inserted::Done => Ok(1),
            Inserted::Exists(row) => Err(conflict_with(&row)),
        };
    }
    let replace = Replace {
        key,
        expected_version,
        value,
    };
    match platform.replace(replace)? {
        Replaced::Done(version) => Ok(version),
        Replaced::Conflict(Some(row)) => Err(conflict_with(&row)),
        Replaced::Conflict(None) => Err(ApplyError::Damaged("configuration head".into())),
    }
}

/// Checks whether a write whose reply was lost has taken effect.
fn read_back(platform: &dyn Platform, head: &Head, error: StoreError) -> Result<u64, ApplyError> {
    match platform.read(Head::ROW_KEY) {
        Ok(Some(row)) if parse_head(&row).as_ref() == Ok(head) => Ok(row.version),
        // The write may still be in flight, or another file may have replaced this one.
        Ok(_) | Err(_) => Err(ApplyError::Unknown(error)),
    }
}

fn parse_head(row: &Row) -> Result<Head, ApplyError> {
    Head::from_text(&row.value).ok_or_else(|| ApplyError::Damaged("configuration head".into()))
}

fn conflict_with(row: &Row) -> ApplyError {
    let winner = Head::from_text(&row.value).map_or("somebody".into(), |head| head.applied_by);
    ApplyError::Conflict(row.version, winner)
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, baobab_unit::millis)
}
