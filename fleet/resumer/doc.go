// Package resumer finds the software version at which a stream has to go on when its caller resumes it at any gateway. It holds
// the versions that began streams, the versions that have served, and the decision over what several gateways know of both.
package resumer
