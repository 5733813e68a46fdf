//! Matching expressions: rules that classify requests, written in a small typed language.
//!
//! Its own decisions live in two modules: [`ruling`], what rules may say and what several of them come to, and
//! [`buckets`], limits by a computed key. All else is mechanism: parse, type, bound, compile, find, run.
//!
//! The language is a part of CEL (the Common Expression Language): its names and operators, without macros, maps,
//! messages and conversions. Everything about it is finite: a text is read with bounded depth, a program has no loops,
//! and every operation has a price at the largest inputs, whose sum is refused at load if it is over the stated bound.

pub mod bounds;
pub mod buckets;
pub mod check;
mod index;
pub mod interpreter;
mod lex;
mod logic;
pub mod parse;
mod program;
mod regexes;
pub mod request;
pub mod ruling;
pub mod set;
pub mod syntax;
pub mod terms;
