//! The grammar of `status`, `workers` and `endpoints`.

// The macro generates the parser, which does not follow these lints.
#![allow(clippy::all, clippy::pedantic)]

use std::path::PathBuf;

xflags::xflags! {
    /// The state of a host.
    cmd pimentochute {
        /// The address of an entry host, HOST:PORT.
        optional --server addr: String
        /// The file that holds the key; else PIMENTOCHUTE_KEY is read.
        optional --key-file file: PathBuf
        /// Prints data as JSON.
        optional --json
        /// Shows the state of the host.
        cmd status {}
        /// Lists the workers of the data centre.
        cmd workers {}
        /// Lists the endpoints that the host knows.
        cmd endpoints {}
    }
}
