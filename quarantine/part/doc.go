// Package part finds the part of prompts that crashes each engine which writes an answer on it,
// in requests that are never alike.
//
// A crash is an endpoint that was lost while requests ran on it; the parts of their prompts, but
// for the last of each, are its suspects. A complete answer to a part from the same service
// clears the part of all crashes before it. What many requests share is answered many times a
// second, the deadly part never: a part is blamed once crashLimit crashes are left.
//
// Three things keep innocent parts from that. A content counts for at most maxCrashesPerContent
// crashes: what it crashes itself is no fault of its parts. Crashes at the same time as those of
// endpoints without the part count as one, and crashes that are all at once do not suffice:
// such losses may have another cause. And a crash is
// explained by the part that explains most: a part whose crashes are nearly all among those of
// another one is not blamed. A part that had been answered before its crashes is explained by
// each part that had not, and else blamed only for crashes that are spread over time while its
// service answered other requests.
//
// Parts that always come together can't be told apart: they are blamed together, until a
// request comes with some of them only. It is a trial: its crash or its answer tells.
//
// Requests with blamed parts are refused until a trial is due, one request in the fleet at a
// time. Parts with crashes that were never answered run in few requests at a time, as many as
// crashes are left until they are blamed.
package part
