/** Macros that propagate an absl::Status at once, in plain functions and in coroutines. */
#pragma once

#include <utility>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#define PLANTAINFORK_JOIN_DETAIL(a, b) a##b
#define PLANTAINFORK_JOIN(a, b) PLANTAINFORK_JOIN_DETAIL(a, b)

// Declarations and keywords can't stand in parentheses.
// NOLINTBEGIN(bugprone-macro-parentheses)

/** Returns from the function when the expression is not OK. */
#define TRY(expression)                                                                                                                                        \
    do {                                                                                                                                                       \
        if (absl::Status tryStatus = (expression); !tryStatus.ok()) {                                                                                          \
            return tryStatus;                                                                                                                                  \
        }                                                                                                                                                      \
    } while (false)

/** The same within a coroutine. */
#define CO_TRY(expression)                                                                                                                                     \
    do {                                                                                                                                                       \
        if (absl::Status tryStatus = (expression); !tryStatus.ok()) {                                                                                          \
            co_return tryStatus;                                                                                                                               \
        }                                                                                                                                                      \
    } while (false)

/** Declares a variable from a StatusOr, or returns its status. */
#define TRY_ASSIGN(declaration, expression) TRY_ASSIGN_DETAIL(return, PLANTAINFORK_JOIN(tryResult, __LINE__), declaration, expression)
/** The same within a coroutine. */
#define CO_TRY_ASSIGN(declaration, expression) TRY_ASSIGN_DETAIL(co_return, PLANTAINFORK_JOIN(tryResult, __LINE__), declaration, expression)

#define TRY_ASSIGN_DETAIL(leave, result, declaration, expression)                                                                                              \
    auto result = (expression);                                                                                                                                \
    if (!result.ok()) {                                                                                                                                        \
        leave std::move(result).status();                                                                                                                      \
    }                                                                                                                                                          \
    declaration = std::move(result).value()

// NOLINTEND(bugprone-macro-parentheses)
