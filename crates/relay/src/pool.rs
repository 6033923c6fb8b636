//! Kept connections to backend servers.

use {
    baobab_client::{Connection, Options, SendError},
    baobab_place::{Server, ServerKey},
    quick_error::quick_error,
    std::{cell::RefCell, collections::HashMap, time::Duration},
};

/// Bounds of connections to servers.
const OPTIONS: Options = Options {
    // Servers in any failure domain accept within milliseconds; a lost opening packet is sent
    // again after a second, by which time another server serves better.
    connect_timeout: Duration::from_millis(700),
    // Less than the two seconds after which callers leave a silent stream.
    user_timeout: Duration::from_millis(1500),
};
/// Time for which an unused connection is kept where the server does not say.
const KEEP: Duration = Duration::from_secs(2);
/// Time before the server's own timeout at which an unused connection is given up.
const KEEP_MARGIN: Duration = Duration::from_millis(1200);

quick_error! {
    /// Why there is no connection.
    #[derive(Debug)]
    pub enum OpenError {
        /// The router's part of the server's connections is in use; the server is not to blame.
        AllInUse(most: usize) {
            display("all {most} connections to the server are in use")
        }
        /// The server did not accept.
        Refused(error: SendError) {
            display("{error}")
        }
    }
}

/// How sure a connection has to be for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trust {
    /// A request that can be sent again takes any kept connection.
    Kept,
    /// One that must not run twice takes only a connection that was used a moment ago.
    Recent,
    /// One whose loss costs most takes a new connection.
    New,
}

/// Longest idle time of a connection that is used for requests that must not be repeated.
const RECENT: Duration = Duration::from_millis(1500);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    keep: Duration,
}

#[derive(Debug, Default)]
struct Lines {
    idle: Vec<Idle>,
    open: usize,
}

/// Kept connections by server.
#[derive(Debug, Default)]
pub struct Pool {
    lines: RefCell<HashMap<ServerKey, Lines>>,
}

impl Pool {
    /// Returns a kept connection.
    pub fn take(&self, server: ServerKey, trust: Trust) -> Option<Connection> {
        let mut lines = self.lines.borrow_mut();
        let lines = lines.get_mut(&server)?;
        let longest = match trust {
            Trust::Kept => Duration::MAX,
            Trust::Recent => RECENT,
            Trust::New => return None,
        };
        while let Some(idle) = lines.idle.pop() {
            let idle_for = idle.connection.idle_for();
            if idle.connection.is_closed() || idle_for > idle.keep {
                lines.open -= 1;
                continue;
            }
            if idle_for > longest {
                lines.idle.push(idle);
                return None;
            }
            return Some(idle.connection);
        }
        None
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails where the server does not accept, or has `most` connections of this router.
    pub async fn open(&self, server: &Server, most: usize) -> Result<Connection, OpenError> {
        {
            let mut lines = self.lines.borrow_mut();
            let lines = lines.entry(server.key).or_default();
            if lines.open >= most && lines.idle.pop().is_some() {
                lines.open -= 1;
            }
            if lines.open >= most {
                return Err(OpenError::AllInUse(most));
            }
            lines.open += 1;
        }
        let counted = Counted {
            pool: self,
            server: server.key,
            is_kept: false,
        };
        let connection = Connection::open(server.address, OPTIONS)
            .await
            .map_err(OpenError::Refused)?;
        counted.keep();
        Ok(connection)
    }

    /// Keeps a connection whose exchange has ended, for the time that the server has said, unless
    /// `most_idle` are kept already.
    pub fn put(
        &self,
        server: ServerKey,
        mut connection: Connection,
        server_keeps: Option<Duration>,
        most_idle: usize,
    ) {
        connection.touch();
        let keep = match server_keeps {
            Some(time) => time.saturating_sub(KEEP_MARGIN).min(KEEP),
            None => KEEP,
        };
        let mut lines = self.lines.borrow_mut();
        let lines = lines.entry(server).or_default();
        if !connection.is_closed() && lines.idle.len() < most_idle && !keep.is_zero() {
            lines.idle.push(Idle { connection, keep });
        } else {
            lines.open = lines.open.saturating_sub(1);
        }
    }

    /// Notes that a taken connection was closed.
    pub fn discard(&self, server: ServerKey) {
        if let Some(lines) = self.lines.borrow_mut().get_mut(&server) {
            lines.open = lines.open.saturating_sub(1);
        }
    }

    /// Closes all kept connections to a server.
    pub fn forget(&self, server: ServerKey) {
        if let Some(lines) = self.lines.borrow_mut().get_mut(&server) {
            lines.open -= lines.idle.len();
            lines.idle.clear();
        }
    }

    /// Closes connections that have been unused for too long.
    pub fn expire(&self) {
        let mut all = self.lines.borrow_mut();
        for lines in all.values_mut() {
            let before = lines.idle.len();
            lines.idle.retain(|idle| {
                !idle.connection.is_closed() && idle.connection.idle_for() <= idle.keep
            });
            lines.open -= before - lines.idle.len();
        }
        all.retain(|_, lines| lines.open > 0);
    }
}

/// Gives an opening connection's place back where opening fails or is cancelled.
struct Counted<'a> {
    pool: &'a Pool,
    server: ServerKey,
    is_kept: bool,
}

impl Counted<'_> {
    fn keep(mut self) {
        self.is_kept = true;
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        if !self.is_kept {
            self.pool.discard(self.server);
        }
    }
}
