//! The lists of named items in a configuration, and a container with one value for each list.

/// A list of named items in a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemList {
    /// `routes`.
    Routes,
    /// `services`.
    Services,
}

impl ItemList {
    /// All lists, in the order in which they are read and changed.
    pub const ALL: [Self; 2] = [Self::Routes, Self::Services];

    /// The list's field in a configuration, and in the `upsert` and `remove` of a patch.
    pub fn field_name(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Services => "services",
        }
    }

    /// Whether this is the field name of a list.
    pub fn is_field_name(name: &str) -> bool {
        Self::ALL.iter().any(|list| list.field_name() == name)
    }
}

/// One value for each list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PerList<T> {
    routes: T,
    services: T,
}

impl<T> PerList<T> {
    /// Creates the values with `create`, in the order of [`ItemList::ALL`].
    pub fn from_fn(mut create: impl FnMut(ItemList) -> T) -> Self {
        Self {
            routes: create(ItemList::Routes),
            services: create(ItemList::Services),
        }
    }

    /// The value of a list.
    pub fn get(&self, list: ItemList) -> &T {
        match list {
            ItemList::Routes => &self.routes,
            ItemList::Services => &self.services,
        }
    }

    /// Combines the values of each list with those of another.
    pub fn zip_with<U, V>(
        self,
        other: PerList<U>,
        mut combine: impl FnMut(ItemList, T, U) -> V,
    ) -> PerList<V> {
        PerList {
            routes: combine(ItemList::Routes, self.routes, other.routes),
            services: combine(ItemList::Services, self.services, other.services),
        }
    }
}

impl<T> PerList<Option<T>> {
    /// The values, or `None` if one is absent.
    pub fn all_present(self) -> Option<PerList<T>> {
        Some(PerList {
            routes: self.routes?,
            services: self.services?,
        })
    }
}
