//! Real daemons on a stand-in of the users' platform.

mod answers;
mod bed;
mod ends;
mod feeds;
mod moves;
mod path;
mod store;
