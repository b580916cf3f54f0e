#include "scheduling/job_queue.h"

#include <cassert>
#include <chrono>
#include <utility>

namespace plantainfork::scheduling
{

BucketKey JobQueue::keyOf(const Job &job)
{
    std::uint8_t runTimeClass = 0;
    for (auto remaining = std::chrono::duration_cast<std::chrono::minutes>(job.expectedRunTime); remaining >= std::chrono::minutes(4); remaining /= 4) {
        ++runTimeClass;
    }
    return {job.spec.shape,
            job.spec.urgency,
            job.isPreemptible(),
            job.spec.checkpointable,
            runTimeClass,
            job.avoidedWorkers.empty() ? base::JobId() : job.spec.id};
}

void JobQueue::insert(Job *job)
{
    const BucketKey key = keyOf(*job);
    Bucket &bucket = m_buckets[key];
    deactivate(bucket);
    bucket.key = key;
    bucket.jobs.emplace(job->queueKey, job);
    activate(bucket);
    m_byGrant[{job->spec.workspace, job->spec.templateId}].emplace(job->queueKey, job);
    ++m_size;
}

void JobQueue::erase(Job *job)
{
    const auto found = m_buckets.find(keyOf(*job));
    assert(found != m_buckets.end());
    Bucket &bucket = found->second;
    deactivate(bucket);
    bucket.jobs.erase(job->queueKey);
    if (bucket.jobs.empty()) {
        m_buckets.erase(found);
    } else {
        activate(bucket);
    }
    const auto grant = m_byGrant.find({job->spec.workspace, job->spec.templateId});
    grant->second.erase(job->queueKey);
    if (grant->second.empty()) {
        m_byGrant.erase(grant);
    }
    --m_size;
}

Bucket *JobQueue::next()
{
    return m_active.empty() ? nullptr : m_active.begin()->second;
}

void JobQueue::block(Bucket &bucket, std::string reason)
{
    deactivate(bucket);
    bucket.isBlocked = true;
    bucket.blockReason = std::move(reason);
}

void JobQueue::unblockAll()
{
    for (auto &[key, bucket] : m_buckets) {
        if (bucket.isBlocked) {
            bucket.isBlocked = false;
            activate(bucket);
        }
    }
}

Job *JobQueue::firstCoveredJob(const GrantKey &grant, const wire::Shape &shape) const
{
    const auto found = m_byGrant.find(grant);
    if (found == m_byGrant.end()) {
        return nullptr;
    }
    for (const auto &[key, job] : found->second) {
        if (coversShape(shape, job->spec.shape)) {
            return job;
        }
    }
    return nullptr;
}

const Bucket *JobQueue::bucketOf(const Job &job) const
{
    const auto found = m_buckets.find(keyOf(job));
    return found == m_buckets.end() ? nullptr : &found->second;
}

std::size_t JobQueue::size() const
{
    return m_size;
}

wire::Shape JobQueue::largestShape() const
{
    wire::Shape largest{0};
    for (const auto &[key, bucket] : m_buckets) {
        if (sizeInAccelerators(key.shape) > sizeInAccelerators(largest)) {
            largest = key.shape;
        }
    }
    return largest;
}

void JobQueue::activate(Bucket &bucket)
{
    if (!bucket.isBlocked && !bucket.jobs.empty()) {
        m_active.emplace(bucket.jobs.begin()->first, &bucket);
    }
}

void JobQueue::deactivate(Bucket &bucket)
{
    if (!bucket.isBlocked && !bucket.jobs.empty()) {
        m_active.erase(bucket.jobs.begin()->first);
    }
}

} // namespace plantainfork::scheduling
