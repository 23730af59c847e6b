//! Real daemons on a stand-in of the users' platform.

mod answers;
mod bed;
mod ends;
mod moves;
mod path;
mod store;
