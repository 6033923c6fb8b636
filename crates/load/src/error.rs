//! Errors of the load tool.

use quick_error::quick_error;

quick_error! {
    /// Why generating, replaying or measuring failed.
    #[derive(Debug)]
    pub enum LoadError {
        /// A file, or the argument that names it, can't be used.
        File(path: String, reason: String) {
            display("{path}: {reason}")
        }
        /// A line of a trace is malformed; lines count from 1.
        Trace(path: String, line: usize, reason: String) {
            display("{path}:{line}: {reason}")
        }
        /// No site has this name.
        UnknownSite(name: String) {
            display("unknown site '{name}'; expected caroni or cascadia")
        }
        /// The routers at these addresses were not ready in time.
        NotReady(routers: String) {
            display("routers not ready: {routers}")
        }
    }
}
