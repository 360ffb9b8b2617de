mod cold_servers;
mod gathering;
mod helpers;
mod quotas;
mod requests;
mod servers;
mod wall_clock;

use super::quotas::*;
use super::requests::*;
use super::servers::*;
use super::*;
use helpers::*;
