#include "ctl/capacity_view.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "ctl/table.h"

namespace plantainfork::ctl
{

namespace
{

constexpr char FirmMark = '#';
constexpr char BorrowedMark = 'b';
constexpr char FragmentedMark = 'x';
constexpr char FreeMark = '.';
/** Width of a full bar; a data centre with fewer accelerators gets one character for each. */
constexpr std::int64_t BarWidth = 40;

/** Accelerators of a data centre, each counted once. */
struct Use {
    std::int64_t all = 0;
    std::int64_t firm = 0;
    std::int64_t borrowed = 0;
    std::int64_t fragmented = 0;

    [[nodiscard]] std::int64_t free() const
    {
        return all - firm - borrowed - fragmented;
    }
};

/** Counts that don't add up are cut down rather than trusted. */
Use useOf(const Json &dataCentre)
{
    Use use;
    use.all = std::max<std::int64_t>(fieldNumber(dataCentre, "accelerators"), 0);
    use.firm = std::clamp<std::int64_t>(fieldNumber(dataCentre, "firm"), 0, use.all);
    use.borrowed = std::clamp<std::int64_t>(fieldNumber(dataCentre, "borrowed"), 0, use.all - use.firm);
    use.fragmented = std::clamp<std::int64_t>(fieldNumber(dataCentre, "fragmented"), 0, use.all - use.firm - use.borrowed);
    return use;
}

/** "[####bbxx....]": each kind's share of the width, the free ones taking what rounding leaves. */
std::string barOf(const Use &use)
{
    const auto width = std::min(use.all, BarWidth);
    std::string bar;
    const auto append = [&](std::int64_t count, char mark) {
        bar += std::string(use.all == 0 ? 0 : static_cast<std::size_t>(count * width / use.all), mark);
    };
    append(use.firm, FirmMark);
    append(use.borrowed, BorrowedMark);
    append(use.fragmented, FragmentedMark);
    bar.resize(static_cast<std::size_t>(width), FreeMark);
    return "[" + bar + "]";
}

std::string shapeText(const Json &shape)
{
    return fieldText(shape, "members") + " x " + fieldText(shape, "acceleratorsPerMember");
}

void writeDataCentres(std::ostream &stream, const Json &region)
{
    Table table({"DATA CENTRE", "MODE", "WORKERS", "ACCELERATORS", "FIRM", "BORROWED", "FREE", "FRAGMENTED", "IN USE"});
    for (const auto &dataCentre : fieldItems(region, "dataCentres")) {
        const auto use = useOf(dataCentre);
        table.add({
            fieldText(dataCentre, "name"),
            fieldText(dataCentre, "mode"),
            fieldText(dataCentre, "workers"),
            std::to_string(use.all),
            std::to_string(use.firm),
            std::to_string(use.borrowed),
            std::to_string(use.free() + use.fragmented),
            std::to_string(use.fragmented),
            barOf(use),
        });
    }
    table.write(stream);
}

void writeRegion(std::ostream &stream, const Json &region)
{
    stream << "region " << fieldText(region, "region") << ": " << fieldText(region, "runningGangs") << " gangs running, " << fieldText(region, "waitingJobs")
           << " jobs waiting, largest wanted shape " << shapeText(fieldItems(region, "largestWanted")) << '\n';
    if (region.is_object() && region.contains("error")) {
        stream << "  " << fieldText(region, "error") << '\n';
    }
    writeDataCentres(stream, region);
    for (const auto &guarantee : fieldItems(region, "unmetGuarantees")) {
        stream << "unmet guarantee: workspace " << fieldText(guarantee, "workspace") << ", template " << fieldText(guarantee, "template") << ", "
               << fieldText(guarantee, "gangs") << " gangs of " << shapeText(fieldItems(guarantee, "shape")) << ": " << fieldText(guarantee, "reason") << '\n';
    }
}

} // namespace

void writeCapacity(std::ostream &stream, const Json &capacity)
{
    stream << "accelerators: " << FirmMark << " held firmly, " << BorrowedMark << " borrowed, " << FragmentedMark
           << " free but unusable for the largest wanted shape, " << FreeMark << " free\n";
    for (const auto &region : fieldItems(capacity, "regions")) {
        stream << '\n';
        writeRegion(stream, region);
    }
}

} // namespace plantainfork::ctl
