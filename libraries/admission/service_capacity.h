#ifndef PARSLEYQUAY_ADMISSION_SERVICE_CAPACITY_H_
#define PARSLEYQUAY_ADMISSION_SERVICE_CAPACITY_H_

#include <cstddef>

#include "base/clock.h"

namespace parsleyquay {

// What is known of one backend server, weighted with the probability that it
// works.
struct ServerOccupancy {
  double slots = 0;
  double load = 0;                    // requests running or queued there
  double completions_per_second = 0;  // of all instances' requests

  bool operator==(const ServerOccupancy&) const = default;
};

// What the servers of a service can take now, pooled over the servers that
// requests may be sent to and over the outcomes that all instances observe.
struct ServiceCapacity {
  double slots = 0;
  double load = 0;                    // requests running or queued
  double completions_per_second = 0;  // requests that the servers finished
  double shed_share = 0;              // of the attempts of the last seconds
  // Share of the service's requests that this instance handles.
  double instance_share = 1;
  Duration service_time = milliseconds(200);  // without queueing
  // How long no server may be used, since all of them asked for a pause; the
  // other fields then are those of the paused servers. 0: some may be used.
  Duration pause_left = Duration(0);

  bool operator==(const ServiceCapacity&) const = default;
};

void AddServer(ServiceCapacity& capacity, const ServerOccupancy& server);

// Returns the share of the requests of a service that an instance handles, from
// its own requests per second and those of all instances. As long as few have
// been counted, it is about the same for each instance.
double InstanceShare(double own_rate,
                     double fleet_rate,
                     std::size_t instance_count);

// Returns the requests at the servers per slot: above 1, requests wait there.
double LoadRatio(const ServiceCapacity& capacity);

// Returns how many requests per second the servers complete if all slots are in
// use.
double MaxCompletionRate(const ServiceCapacity& capacity);

// Returns how many requests per second this instance may send so that all
// instances together use the whole capacity and the load ratio approaches
// `target_ratio`. `pace` is a factor of the estimated capacity. Every instance
// computes it from about the same data, and the shares of all instances add up
// to 1.
double SendingRate(const ServiceCapacity& capacity,
                   double target_ratio,
                   double pace);

// Returns the time that a request spends at a server, queueing included.
Duration ExpectedTimeAtServer(const ServiceCapacity& capacity);

// Whether a service is overloaded, as one instance judges it.
struct OverloadState {
  bool is_overloaded = false;
  TimePoint changed_at;
  // How much of the servers' queues may be used, from 0 to 1. Reduced while
  // servers shed, since the length of their queues is not known.
  double queue_use = 1;
  // Factor of the sending rate. Increased while slots are idle, and reduced
  // while more than the wanted requests are at the servers, since neither the
  // capacity nor the shares of the instances are known exactly.
  double pace = 1;
  TimePoint updated_at;

  bool operator==(const OverloadState&) const = default;
};

// Updates the state. A service stays overloaded while requests wait for it.
void UpdateOverload(OverloadState& state,
                    const ServiceCapacity& capacity,
                    bool has_waiting_requests,
                    TimePoint now);

// Returns the load ratio up to which requests of the priority, and of higher
// ones, fill the servers. It decreases with the priority, so that requests of a
// lower one are held by all instances while those of a higher one use the whole
// capacity.
double TargetLoadRatio(int priority, const OverloadState& state);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ADMISSION_SERVICE_CAPACITY_H_
