//! Reads INI files into typed values and collects findings.

mod document;
mod findings;
mod section;

pub use {
    document::{Document, Entry},
    findings::{Finding, Findings},
    section::Section,
};
