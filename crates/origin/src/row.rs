//! Rows of the store that hold versions and notes.

use {
    crate::{Note, VersionOf},
    quick_error::quick_error,
    serde::{Deserialize, Serialize},
};

quick_error! {
    /// Why a row cannot be used.
    #[derive(Debug)]
    pub enum RowError {
        /// Its content is not what this version writes.
        Decode(error: postcard::Error) {
            display("cannot decode the row: {error}")
            from()
        }
    }
}

/// Content of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordRow {
    /// A version that may have begun streams.
    Version(VersionOf),
    /// Notes of one writer. Later rows have a higher number, and replace those [`RecordRow::SLOTS`]
    /// numbers before.
    Notes {
        /// Number among the writer's rows.
        number: u64,
        /// The notes.
        notes: Vec<Note>,
    },
}

impl RecordRow {
    /// Rows of notes that a writer keeps.
    pub const SLOTS: u64 = 64;

    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Fails if the content was written by another program.
    pub fn decode(content: &[u8]) -> Result<Self, RowError> {
        Ok(postcard::from_bytes::<WireRow>(content)?.into())
    }

    /// Encodes the row.
    ///
    /// # Errors
    ///
    /// Fails if the content cannot be serialized.
    pub fn encode(&self) -> Result<Vec<u8>, RowError> {
        Ok(postcard::to_stdvec(&WireRow::from(self))?)
    }
}

#[derive(Debug, Serialize, Deserialize)]
enum WireRow {
    Version {
        service: String,
        version: String,
    },
    Notes {
        number: u64,
        versions: Vec<(String, String)>,
        notes: Vec<WireNote>,
    },
}

/// Wire format of [`Note`]; its version is an index into the row's versions.
#[derive(Debug, Serialize, Deserialize)]
struct WireNote {
    stream: u64,
    version: Option<u16>,
    server: u32,
}

impl From<&RecordRow> for WireRow {
    fn from(row: &RecordRow) -> Self {
        match row {
            RecordRow::Version(VersionOf { service, version }) => Self::Version {
                service: service.clone(),
                version: version.clone(),
            },
            RecordRow::Notes { number, notes } => {
                let mut versions: Vec<VersionOf> = Vec::new();
                let notes = notes
                    .iter()
                    .map(|note| WireNote {
                        stream: note.stream,
                        version: note
                            .version
                            .as_ref()
                            .and_then(|version| index_of(&mut versions, version)),
                        server: note.server,
                    })
                    .collect();
                Self::Notes {
                    number: *number,
                    versions: versions
                        .into_iter()
                        .map(|of| (of.service, of.version))
                        .collect(),
                    notes,
                }
            }
        }
    }
}

/// Returns the index of a version, which is added if it is new. None if there are too many.
fn index_of(versions: &mut Vec<VersionOf>, version: &VersionOf) -> Option<u16> {
    let known = versions.iter().position(|known| known == version);
    let index = known.unwrap_or(versions.len());
    if known.is_none() {
        versions.push(version.clone());
    }
    u16::try_from(index).ok()
}

impl From<WireRow> for RecordRow {
    fn from(wire: WireRow) -> Self {
        match wire {
            WireRow::Version { service, version } => Self::Version(VersionOf { service, version }),
            WireRow::Notes {
                number,
                versions,
                notes,
            } => Self::Notes {
                number,
                notes: notes
                    .into_iter()
                    .map(|note| Note {
                        stream: note.stream,
                        version: note
                            .version
                            .and_then(|index| versions.get(usize::from(index)))
                            .map(|(service, version)| VersionOf {
                                service: service.clone(),
                                version: version.clone(),
                            }),
                        server: note.server,
                    })
                    .collect(),
            },
        }
    }
}
