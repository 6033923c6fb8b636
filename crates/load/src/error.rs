//! Why a replay could not be made.

use quick_error::quick_error;

quick_error! {
    /// Why a replay could not be made.
    #[derive(Debug)]
    pub enum LoadError {
        /// A file can't be read or written.
        File(path: String, reason: String) {
            display("{path}: {reason}")
        }
        /// A line of a trace is malformed.
        Trace(path: String, line: usize, reason: String) {
            display("{path}:{line}: {reason}")
        }
        /// There is no such site.
        UnknownSite(name: String) {
            display("there is no site '{name}'; try caroni or cascadia")
        }
        /// No router is ready.
        NotReady(reason: String) {
            display("the routers are not ready: {reason}")
        }
    }
}
