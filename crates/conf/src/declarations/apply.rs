//! Applying declarations: content by digest first, then the head row on condition.

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
    /// Why declarations were not applied.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ApplyError {
        /// Another operator applied a file in the meantime.
        Lost(version: u64, winner: String) {
            display("version {version} by {winner} was applied in the meantime; \
                     look at its changes and apply again")
        }
        /// The platform refused; nothing was applied.
        Platform(error: StoreError) {
            display("nothing was applied: {error}")
            from()
        }
        /// It is not known whether the file was applied.
        Unknown(error: StoreError) {
            display("it is not known whether the file was applied ({error}); \
                     'baobabctl show' tells once the platform answers")
        }
        /// The head row or its content is damaged.
        Damaged(what: String) {
            display("the platform's {what} is damaged")
        }
    }
}

/// What is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// Version.
    pub version: u64,
    /// Head row.
    pub head: Head,
    /// Content.
    pub text: String,
}

/// Reads what is in force.
///
/// # Errors
///
/// Fails where the platform gives no answer or holds damaged content.
pub fn read_in_force(platform: &dyn Platform) -> Result<Option<Applied>, ApplyError> {
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
    Ok(Some(Applied {
        version: row.version,
        head,
        text,
    }))
}

/// Applies a checked file and returns its version.
///
/// # Errors
///
/// Fails where another operator was faster, or the platform gives no answer.
pub fn apply_text(
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

/// Lines that are only in one of two texts, each behind `-` or `+`.
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
            Inserted::Exists(row) => Err(lost_to(&row)),
        };
    }
    let replace = Replace {
        key,
        expected_version,
        value,
    };
    match platform.replace(replace)? {
        Replaced::Done(version) => Ok(version),
        Replaced::Conflict(Some(row)) => Err(lost_to(&row)),
        Replaced::Conflict(None) => Err(ApplyError::Damaged("configuration head".into())),
    }
}

/// Finds out whether a write whose reply was lost has taken effect.
fn read_back(platform: &dyn Platform, head: &Head, error: StoreError) -> Result<u64, ApplyError> {
    match platform.read(Head::ROW_KEY) {
        Ok(Some(row)) if parse_head(&row).as_ref() == Ok(head) => Ok(row.version),
        // A lost write may still be on its way, and another file may have replaced this one.
        Ok(_) | Err(_) => Err(ApplyError::Unknown(error)),
    }
}

fn parse_head(row: &Row) -> Result<Head, ApplyError> {
    Head::from_text(&row.value).ok_or_else(|| ApplyError::Damaged("configuration head".into()))
}

fn lost_to(row: &Row) -> ApplyError {
    let winner = Head::from_text(&row.value).map_or("somebody".into(), |head| head.applied_by);
    ApplyError::Lost(row.version, winner)
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, baobab_unit::millis)
}
