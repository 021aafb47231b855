#include <boost/json/src.hpp>  // header-only: the one place of the lab that compiles it
