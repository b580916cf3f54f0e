#include "requests/frontend.h"

#include "store/http_store.h"

namespace plantainfork::requests
{

template class ClaimStore<store::HttpStore>;
template class AtMostOnceForwarder<store::HttpStore>;
template class Frontend<store::HttpStore>;

} // namespace plantainfork::requests
