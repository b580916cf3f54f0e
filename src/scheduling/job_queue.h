/**
 * Waiting jobs in queue order. Jobs with the same requirements share a bucket: when the first of them
 * fits nowhere, none does, and the bucket is blocked until capacity has grown. So an event costs at
 * most a few placement attempts, however many jobs wait.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include "scheduling/guarantees.h"
#include "scheduling/job.h"

namespace plantainfork::scheduling
{

/** The requirements by which placement tells jobs apart. */
struct BucketKey {
    wire::Shape shape;
    wire::Urgency urgency = wire::Urgency::Normal;
    bool isPreemptible = false;
    bool isCheckpointable = false;
    /** Logarithm to base 4 of the expected run time in minutes, so that all jobs of a bucket fit the same backfill gaps. */
    std::uint8_t runTimeClass = 0;
    /** Set for a job that avoids workers on which it has failed; such a job has a bucket of its own. */
    base::JobId avoidingJob;

    auto operator<=>(const BucketKey &) const = default;
};

struct Bucket {
    BucketKey key;
    absl::btree_map<QueueKey, Job *> jobs;
    /** Why the bucket is blocked; shown as the reason of its jobs. */
    std::string blockReason;
    /** Set while the bucket waits for capacity to grow. */
    bool isBlocked = false;
};

class JobQueue
{
public:
    void insert(Job *job);
    void erase(Job *job);

    /** The bucket that holds the first job in queue order; null when all buckets are blocked or empty. */
    [[nodiscard]] Bucket *next();
    /** Excludes the bucket from next() until unblockAll(). */
    void block(Bucket &bucket, std::string reason);
    void unblockAll();

    /** First waiting job of the grant whose shape is covered by the given one; null when there is none. */
    [[nodiscard]] Job *firstCoveredJob(const GrantKey &grant, const wire::Shape &shape) const;
    [[nodiscard]] const Bucket *bucketOf(const Job &job) const;
    [[nodiscard]] std::size_t size() const;
    /** The waiting shape with the largest sizeInAccelerators(). */
    [[nodiscard]] wire::Shape largestShape() const;
    /** Calls the function for each waiting job, in unspecified order. */
    template<typename Function>
    void forEach(Function function) const
    {
        for (const auto &[key, bucket] : m_buckets) {
            for (const auto &[position, job] : bucket.jobs) {
                function(*job);
            }
        }
    }

private:
    static BucketKey keyOf(const Job &job);
    void activate(Bucket &bucket);
    void deactivate(Bucket &bucket);

    /** Buckets that have jobs. m_active points to them, so this is a container with stable addresses. */
    std::map<BucketKey, Bucket> m_buckets;
    /** Buckets that are neither blocked nor empty, by the queue key of their first job. */
    absl::btree_map<QueueKey, Bucket *> m_active;
    absl::flat_hash_map<GrantKey, absl::btree_map<QueueKey, Job *>> m_byGrant;
    std::size_t m_size = 0;
};

} // namespace plantainfork::scheduling
