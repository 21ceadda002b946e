//! Texts of settings files.

/// A file with every key.
pub const FULL: &str = "\
node=c-7
role=keeper
machineClass=core
serves=control_plane
ipAddress=172.18.4.5
zone=east-2
region=rhine
zones.east-2=rhine
zones.west-9=mosel
listenAddresses.front=172.18.4.5:9001
listenAddresses.readiness=172.18.4.5:9002
listenAddresses.control=172.18.4.5:9003
internalPorts=5100,5104
seeds=172.18.4.5:9003,172.19.0.8:9003
firstStart=true
countsForQuorum=true
limits.cpuShare=0.31
limits.cores=3
limits.memoryMb=97
limits.fileDescriptors=2111
limits.linkMbps=77.5
limits.diskMb=45
dataDirectory=/data/keeper
heartbeatMs=1350
faultTolerance.machines=2
faultTolerance.zones=1
faultTolerance.regions=3
bounds.seedLagS=7
bounds.reuseAfterS=1.5
bounds.contactMs=3100
bounds.acknowledgeMs=4300
bounds.catchUpS=6.25
bounds.drainMs=3700
bounds.graceS=9
bounds.lossSlackMs=210
bounds.configurationMs=2900
bounds.rollbackSlackMs=270
bounds.outerBoundMs=6100
bounds.retryBudgetRatio=0.13
bounds.budgetWindowS=12
bounds.retryBudgetSlack=34
bounds.recoveryS=17
bounds.transitMs=190
bounds.again_s=8.4
bounds.fenced=true
bounds.leaseMs=2300
bounds.thawMs=410
cloud.address=172.31.0.2:8800
cloud.ratePerS=12.5
cloud.lagMs=930
cloud.duties=
";

/// A file with only the required keys.
pub const REQUIRED: &str = "\
node=e-1
zone=west-9
ipAddress=172.18.9.1
internalPorts=5100,5100
cloud.address=172.31.0.2:8800
";
